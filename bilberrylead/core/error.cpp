#include "bilberrylead/core/error.hpp"

#include <absl/strings/cord.h>
#include <absl/strings/string_view.h>
#include <absl/types/optional.h>
#include <fmt/format.h>

#include <array>
#include <cstddef>
#include <string>

namespace bilberrylead
{

namespace
{

constexpr absl::string_view kind_payload_url = "bilberrylead/error_kind";

/// The packaged absl defines its own string_view type instead of using the
/// standard one.
absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

struct kind_row
{
    error_kind kind;
    std::string_view name;
    absl::StatusCode code;
};

constexpr std::array kind_rows = {
    kind_row{error_kind::syntax, "syntax", absl::StatusCode::kInvalidArgument},
    kind_row{error_kind::unknown_field, "unknown_field",
             absl::StatusCode::kInvalidArgument},
    kind_row{error_kind::missing_field, "missing_field",
             absl::StatusCode::kInvalidArgument},
    kind_row{error_kind::bad_value, "bad_value",
             absl::StatusCode::kInvalidArgument},
    kind_row{error_kind::unknown_name, "unknown_name",
             absl::StatusCode::kNotFound},
    kind_row{error_kind::duplicate_name, "duplicate_name",
             absl::StatusCode::kAlreadyExists},
    kind_row{error_kind::conflict, "conflict", absl::StatusCode::kAborted},
    kind_row{error_kind::not_leader, "not_leader",
             absl::StatusCode::kFailedPrecondition},
    kind_row{error_kind::no_quorum, "no_quorum",
             absl::StatusCode::kUnavailable},
    kind_row{error_kind::not_trusted, "not_trusted",
             absl::StatusCode::kPermissionDenied},
    kind_row{error_kind::storage, "storage", absl::StatusCode::kInternal},
    kind_row{error_kind::corrupt, "corrupt", absl::StatusCode::kDataLoss},
    kind_row{error_kind::no_room, "no_room",
             absl::StatusCode::kResourceExhausted},
    kind_row{error_kind::timeout, "timeout",
             absl::StatusCode::kDeadlineExceeded},
    kind_row{error_kind::connection, "connection",
             absl::StatusCode::kUnavailable},
};

kind_row const& row_of(error_kind kind)
{
    return kind_rows.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return row_of(kind).name;
}

absl::Status make_error(error_kind kind, std::string_view problem,
                        std::string_view remedy)
{
    absl::Status status(
        row_of(kind).code,
        fmt::format("{}: {} {}", to_string(kind), problem, remedy));
    status.SetPayload(kind_payload_url, absl::Cord(to_absl(to_string(kind))));
    return status;
}

std::optional<error_kind> kind_of(absl::Status const& status)
{
    absl::optional<absl::Cord> const payload =
        status.GetPayload(kind_payload_url);
    if (!payload.has_value())
    {
        return std::nullopt;
    }
    std::string const name(*payload);
    for (kind_row const& row : kind_rows)
    {
        if (row.name == name)
        {
            return row.kind;
        }
    }
    return std::nullopt;
}

} // namespace bilberrylead
