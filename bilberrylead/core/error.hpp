#ifndef BILBERRYLEAD_CORE_ERROR_HPP
#define BILBERRYLEAD_CORE_ERROR_HPP

#include <absl/status/status.h>

#include <optional>
#include <string_view>

namespace bilberrylead
{

/// What went wrong, as far as a program or an operator acts on it.
enum class error_kind
{
    /// The text is not JSON with comments, or not valid CBOR.
    syntax,
    /// A field that this version does not know.
    unknown_field,
    /// A field that must be there and is not.
    missing_field,
    /// A field of the wrong type or outside its range.
    bad_value,
    /// A name that nothing defines.
    unknown_name,
    /// A name that is defined twice.
    duplicate_name,
    /// Another change was accepted on the same base revision.
    conflict,
    /// This host does not lead; the message names who does, if known.
    not_leader,
    /// No quorum answers, so nothing can be accepted now.
    no_quorum,
    /// The other side is not who it must be.
    not_trusted,
    /// A file or folder could not be read or written.
    storage,
    /// A file's content fails its checksum.
    corrupt,
    /// There is no room: disk, slots or connections.
    no_room,
    /// The other side did not answer in time.
    timeout,
    /// The connection could not be made or was lost.
    connection,
};

/// The kind's name as logs, problem bodies and JSON output show it.
std::string_view to_string(error_kind kind);

/// Makes an error. `what` says what is wrong and where, `remedy` what the
/// reader can do about it; both are whole short sentences.
absl::Status make_error(error_kind kind, std::string_view problem,
                        std::string_view remedy);

/// The kind of an error made by make_error, or nothing for another's.
std::optional<error_kind> kind_of(absl::Status const& status);

} // namespace bilberrylead

#endif
