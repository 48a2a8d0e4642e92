#ifndef BILBERRYLEAD_CORE_ERROR_HPP
#define BILBERRYLEAD_CORE_ERROR_HPP

#include <absl/status/status.h>

#include <optional>
#include <string_view>

namespace bilberrylead
{

/// Category of an error, as fine as programs and operators need to react to
/// it.
enum class error_kind
{
    /// The text is not JSON with comments, or not valid CBOR.
    syntax,
    /// A field that this version does not support.
    unknown_field,
    /// A required field is absent.
    missing_field,
    /// A field of the wrong type or outside its range.
    bad_value,
    /// A reference to a name that is not defined.
    unknown_name,
    /// A name that is defined more than once.
    duplicate_name,
    /// Another change was accepted on the same base revision.
    conflict,
    /// This host is not the leader; the message names the leader, if known.
    not_leader,
    /// No quorum responds, so no change can be accepted at present.
    no_quorum,
    /// The identity of the remote side could not be verified.
    not_trusted,
    /// A file or folder could not be read or written.
    storage,
    /// A file's content fails its checksum.
    corrupt,
    /// No free capacity: disk space, slots or connections.
    no_room,
    /// The remote side did not respond in time.
    timeout,
    /// The connection could not be established or was lost.
    connection,
};

/// Name of the kind in logs, problem bodies and JSON output.
std::string_view to_string(error_kind kind);

/// Makes an error. `problem` describes what is wrong and where; `remedy`
/// describes how the reader can resolve it. Both are short, complete
/// sentences.
absl::Status make_error(error_kind kind, std::string_view problem,
                        std::string_view remedy);

/// The kind of an error made by make_error, or nullopt for any other status.
std::optional<error_kind> kind_of(absl::Status const& status);

} // namespace bilberrylead

#endif
