#include "bilberrylead/daemon/operator_api.hpp"

#include "bilberrylead/config/check.hpp"
#include "bilberrylead/config/configuration.hpp"
#include "bilberrylead/config/parse_configuration.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/link/query.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t longest_change_id = 128;
constexpr std::size_t most_audit_entries = 1000;

/// The number that a query gives a name, or another one if it gives none.
absl::StatusOr<std::uint64_t> number_of(link::query const& asked,
                                        std::string_view name,
                                        std::uint64_t otherwise)
{
    if (!asked.has(name))
    {
        return otherwise;
    }
    std::string_view const text = asked.raw(name);
    std::uint64_t value = 0;
    std::from_chars_result const read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size())
    {
        return make_error(error_kind::bad_value,
                          fmt::format("'{}' must be a number.", name),
                          "Leave it out or give a number from 0.");
    }
    return value;
}

absl::Status bad_body(std::string_view what)
{
    return make_error(error_kind::bad_value, what,
                      "See the operators' page for the fields.");
}

absl::StatusOr<json> read_body(std::string const& text)
{
    json body = json::parse(text, nullptr, false);
    if (body.is_discarded())
    {
        return make_error(error_kind::syntax, "The body is not whole JSON.",
                          "Send a JSON object.");
    }
    if (!body.is_object())
    {
        return bad_body("The body must be a JSON object.");
    }
    return body;
}

std::optional<std::string> text_of(json const& body, char const* field)
{
    json::const_iterator const found = body.find(field);
    if (found == body.end() || !found->is_string())
    {
        return std::nullopt;
    }
    return found->get<std::string>();
}

absl::StatusOr<control::operator_request>
read_change(json const& body, std::string const& operator_name)
{
    std::optional<std::string> const change = text_of(body, "change_id");
    std::optional<std::string> const document = text_of(body, "document");
    json::const_iterator const base = body.find("base_revision");
    if (!change.has_value() || change->empty() ||
        change->size() > longest_change_id)
    {
        return bad_body("A change needs a change_id of 1 to 128 letters.");
    }
    if (!document.has_value())
    {
        return bad_body("A change needs its document as a text.");
    }
    if (base == body.end() || !base->is_number_unsigned())
    {
        return bad_body("A change needs the base_revision it started from.");
    }
    absl::StatusOr<config::configuration> const parsed =
        config::parse_configuration(*document, "document");
    if (!parsed.ok())
    {
        return parsed.status();
    }

    // Hosts build their routes on references that resolve.
    absl::Status consistent = config::check(*parsed);
    if (!consistent.ok())
    {
        return consistent;
    }
    control::submit_change request;
    request.change.change = change_id(*change);
    request.change.base_revision = base->get<std::uint64_t>();
    request.change.operator_name = operator_name;
    request.change.document = bytes(document->begin(), document->end());
    return request;
}

absl::StatusOr<control::operator_request> read_membership(json const& body)
{
    static std::map<std::string, agreement::membership_action> const actions = {
        {"add_voter", agreement::membership_action::add_voter},
        {"add_learner", agreement::membership_action::add_learner},
        {"remove", agreement::membership_action::remove}};
    std::optional<std::string> const action = text_of(body, "action");
    std::optional<std::string> const host = text_of(body, "host");
    if (!action.has_value() || !actions.contains(*action))
    {
        return bad_body("'action' must be add_voter, add_learner or remove.");
    }
    if (!host.has_value() || host->empty())
    {
        return bad_body("'host' must name a control host.");
    }
    control::change_membership request;
    request.request.action = actions.at(*action);
    request.request.host = host_id(*host);
    return request;
}

absl::StatusOr<control::operator_request>
read_lift(json const& body, std::string const& operator_name)
{
    constexpr int hexadecimal = 16;
    std::string const text = text_of(body, "digest").value_or("");
    control::lift_crash_record request;
    std::from_chars_result const read = std::from_chars(
        text.data(), text.data() + text.size(), request.digest, hexadecimal);
    if (read.ec != std::errc{} || read.ptr != text.data() + text.size())
    {
        return bad_body("'digest' must be a hexadecimal number, as a text.");
    }
    request.operator_name = operator_name;
    return request;
}

} // namespace

absl::StatusOr<std::string>
authenticate(link::http_request const& request,
             std::span<config::operator_key const> operators)
{
    std::string_view const scheme = "Bearer ";
    std::string_view given = request.authorization;
    if (given.starts_with(scheme))
    {
        given.remove_prefix(scheme.size());
        for (config::operator_key const& known : operators)
        {
            if (known.key.size() == given.size() &&
                CRYPTO_memcmp(known.key.data(), given.data(), given.size()) ==
                    0)
            {
                return known.name;
            }
        }
    }
    return make_error(error_kind::not_trusted,
                      "The key is none of an operator of this host.",
                      "Give bilberryctl a key from the host's settings.");
}

bool is_founding_order(link::http_request const& request)
{
    return request.method == "POST" && request.target == "/v1/found";
}

absl::StatusOr<control::operator_request>
read_operator_request(link::http_request const& request,
                      std::string const& operator_name)
{
    link::query const target(request.target);
    if (request.method == "GET" && target.path() == "/v1/status")
    {
        return control::read_status{};
    }
    if (request.method == "GET" && target.path() == "/v1/configuration")
    {
        absl::StatusOr<std::uint64_t> const wanted =
            number_of(target, "revision", 0);
        if (!wanted.ok())
        {
            return wanted.status();
        }
        return control::read_configuration{*wanted, target.has("stale")};
    }
    if (request.method == "GET" && target.path() == "/v1/audit")
    {
        absl::StatusOr<std::uint64_t> const most =
            number_of(target, "most", 100);
        if (!most.ok())
        {
            return most.status();
        }
        if (*most == 0)
        {
            return make_error(error_kind::bad_value, "'most' must be over 0.",
                              "Leave it out or give a number from 1.");
        }
        return control::read_audit{
            std::min<std::size_t>(*most, most_audit_entries)};
    }
    if (request.method == "GET" && target.path() == "/v1/crashes")
    {
        return control::read_crash_records{};
    }
    if (request.method == "GET" && target.path() == "/v1/customers")
    {
        return control::read_customers{};
    }
    if (request.method == "GET" && target.path() == "/v1/admission")
    {
        return control::read_admission{};
    }
    if (request.method == "POST" && target.path() == "/v1/crashes/lift")
    {
        absl::StatusOr<json> const body = read_body(request.body);
        return body.ok() ? read_lift(*body, operator_name) : body.status();
    }
    if (request.method == "POST" && target.path() == "/v1/handover")
    {
        return control::hand_over{};
    }

    bool const is_change = target.path() == "/v1/changes";
    if (request.method == "POST" &&
        (is_change || target.path() == "/v1/members"))
    {
        absl::StatusOr<json> const body = read_body(request.body);
        if (!body.ok())
        {
            return body.status();
        }
        return is_change ? read_change(*body, operator_name)
                         : read_membership(*body);
    }
    return make_error(
        error_kind::unknown_name,
        fmt::format("There is no {} {}.", request.method, target.path()),
        "See the operators' page for what can be asked.");
}

} // namespace bilberrylead::daemon
