#include "bilberrylead/ctl/report.hpp"

#include "bilberrylead/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>

namespace bilberrylead::ctl
{

namespace
{

constexpr unsigned first_client_error = 400;
constexpr unsigned not_trusted = 401;
constexpr unsigned conflict = 409;
constexpr unsigned misdirected = 421;
constexpr unsigned first_server_error = 500;

} // namespace

exit_code report(absl::Status const& error)
{
    fmt::print(stderr, "bilberryctl: {}\n", std::string(error.message()));
    switch (kind_of(error).value_or(error_kind::connection))
    {
    case error_kind::connection:
    case error_kind::timeout:
    case error_kind::no_quorum:
    case error_kind::not_leader:
    case error_kind::no_room:
        return exit_code::failed;
    case error_kind::conflict:
        return exit_code::conflict;
    default:
        return exit_code::bad_input;
    }
}

exit_code report_refusal(operator_answer const& answer)
{
    absl::StatusOr<nlohmann::json> const body = body_of(answer);
    std::string message = answer.body;
    if (body.ok() && body->contains("message"))
    {
        message = body->value("message", "");
    }
    fmt::print(stderr, "bilberryctl: {}\n", message);
    if (answer.status == conflict)
    {
        return exit_code::conflict;
    }
    bool const is_input = answer.status >= first_client_error &&
                          answer.status < first_server_error &&
                          answer.status != misdirected &&
                          answer.status != not_trusted;
    return is_input ? exit_code::bad_input : exit_code::failed;
}

absl::StatusOr<nlohmann::json> body_of(operator_answer const& answer)
{
    nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object())
    {
        return make_error(error_kind::syntax,
                          "The host's answer is no JSON object.",
                          "Check that the address is an operator address.");
    }
    return body;
}

void print_table(std::vector<std::vector<std::string>> const& rows)
{
    std::vector<std::size_t> widths;
    for (std::vector<std::string> const& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (std::vector<std::string> const& row : rows)
    {
        std::string text;
        for (std::size_t column = 0; column < row.size(); ++column)
        {
            text += fmt::format("{:<{}}  ", row[column], widths[column]);
        }
        text.erase(text.find_last_not_of(' ') + 1);
        fmt::print("{}\n", text);
    }
}

void print_json(nlohmann::json const& value)
{
    fmt::print("{}\n", value.dump(2));
}

} // namespace bilberrylead::ctl
