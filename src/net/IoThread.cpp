#include "net/IoThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <pthread.h>
#include <thread>
#include <utility>

namespace psp::net {

namespace asio = boost::asio;

struct IoThread::Impl {
  std::string m_Name;
  asio::io_context m_Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_Work{
      m_Context.get_executor()};
  std::thread m_Thread;
};

IoThread::IoThread(std::string Name) : m_Impl(std::make_unique<Impl>()) {
  m_Impl->m_Name = std::move(Name);
}

IoThread::~IoThread() { stop(); }

asio::io_context &IoThread::context() { return m_Impl->m_Context; }

void IoThread::start() {
  m_Impl->m_Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), m_Impl->m_Name.c_str());
    m_Impl->m_Context.run();
  });
}

void IoThread::stop() {
  m_Impl->m_Context.stop();
  if (m_Impl->m_Thread.joinable())
    m_Impl->m_Thread.join();
}

void IoThread::post(std::function<void()> Work) {
  asio::post(m_Impl->m_Context, std::move(Work));
}

IoWaker::IoWaker(IoThread &Thread, std::function<void()> Drain)
    : m_Thread(Thread), m_Drain(std::move(Drain)) {}

void IoWaker::wake() {
  if (m_Posted.exchange(true))
    return;
  m_Thread.post([this] {
    m_Posted.store(false);
    m_Drain();
  });
}

} // namespace psp::net
