#include "bilberrylead/load/answer_kind.hpp"

#include "bilberrylead/core/http_status.hpp"

#include <array>
#include <cstddef>

namespace bilberrylead::load
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_server_error = 500;

constexpr std::array<std::string_view, 10> kind_names = {
    "done",      "not_run",      "outcome_unknown", "in_progress",
    "refused",   "not_whole",    "not_own",         "cut",
    "no_answer", "no_connection"};

} // namespace

std::string_view to_string(answer_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

answer_kind claimed_kind(unsigned status, std::string_view outcome,
                         bool not_run)
{
    if (!is_valid_status(status))
    {
        return answer_kind::not_whole;
    }
    if (status == status_ok && (outcome.empty() || outcome == "done"))
    {
        return answer_kind::done;
    }
    if (status == status_conflict && outcome != "done")
    {
        return answer_kind::in_progress;
    }
    if (outcome == "unknown" ||
        (outcome.empty() && !not_run && status >= status_server_error))
    {
        return answer_kind::outcome_unknown;
    }
    bool const server_side = status >= status_server_error;
    if (not_run || (outcome == "not-run" && server_side))
    {
        return answer_kind::not_run;
    }
    return answer_kind::refused;
}

} // namespace bilberrylead::load
