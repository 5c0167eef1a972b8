/// \file
/// Coroutines in the background, which keep what they use, and whose exceptions
/// are reported.

#ifndef PSP_WEB_SPAWN_H
#define PSP_WEB_SPAWN_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/execution_context.hpp>

#include <exception>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace psp::web {

/// Called with the name of a coroutine and what its exception says.
using FailureReporter =
    std::function<void(std::string_view Name, const std::string &Reason)>;

/// Replaces the reporter for coroutines of \p Context, which by default writes
/// to standard error.
void setFailureReporter(boost::asio::execution_context &Context,
                        FailureReporter Report);
void reportFailure(const boost::asio::any_io_executor &Executor,
                   std::string_view Name, const std::exception_ptr &Failure);
std::string describeException(const std::exception_ptr &Failure);

/// Waits for \p Step. Returns the exception that ended it, or null.
boost::asio::awaitable<std::exception_ptr>
catchFailure(boost::asio::awaitable<void> Step);

/// A type whose objects end while the program goes on.
template <typename Type>
concept SharedByPointer = requires(Type &Object) {
  Object.weak_from_this();
};

/// An object that outlives the execution context of the coroutines that use it.
template <typename Type> class Lasting {
public:
  explicit Lasting(Type &Object) : m_Object(&Object) {
    static_assert(!SharedByPointer<Type>,
                  "a coroutine has to hold this object by a shared pointer");
  }
  Type &operator*() const { return *m_Object; }

private:
  Type *m_Object;
};

/// Starts a coroutine: \p Step is called with the object of \p Owner, a shared
/// pointer or a Lasting, and returns an awaitable. Owner and \p Step, with what
/// it has captured, exist until the coroutine has ended. That begins before the
/// coroutine first runs, which is after this function has returned. An
/// exception that ends it is reported. \p Name must be a literal.
template <typename OwnerType, typename Function>
void spawn(const boost::asio::any_io_executor &Executor, std::string_view Name,
           OwnerType Owner, Function Step) {
  boost::asio::co_spawn(
      Executor,
      [Owner = std::move(Owner), Step = std::move(Step)]() mutable
      -> boost::asio::awaitable<void> { co_await Step(*Owner); },
      [Executor, Name](const std::exception_ptr &Failure) {
        if (Failure)
          reportFailure(Executor, Name, Failure);
      });
}

} // namespace psp::web

#endif
