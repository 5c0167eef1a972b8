/// \file
/// The difference between two versions of a text, as copies from the earlier
/// version and new bytes. It knows nothing of the format of the text.

#ifndef PSP_FLEET_DOCUMENTDIFFERENCE_H
#define PSP_FLEET_DOCUMENTDIFFERENCE_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace psp::fleet {

/// Load pattern: documents of some MB of which a version changes a few hundred
/// bytes. Takes time linear in both texts for any content.
///
/// An empty \p Base is allowed; the difference is then the deflated \p Target.
std::string encodeDifference(std::string_view Base, std::string_view Target);

/// The text that \p Difference makes of \p Base. Empty if it isn't a difference
/// to a text of this length or makes more than \p MaxBytes. Whether the result
/// is the intended one must be checked by its digest.
std::optional<std::string> applyDifference(std::string_view Base,
                                           std::string_view Difference,
                                           std::size_t MaxBytes);

} // namespace psp::fleet

#endif
