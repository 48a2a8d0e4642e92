#include "bilberrylead/load/load_profile.hpp"

#include "bilberrylead/config/address_block.hpp"
#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_reader.hpp"
#include "bilberrylead/config/json_text.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <set>

namespace bilberrylead::load
{

namespace
{

constexpr std::uint32_t whole_share = 100;
constexpr std::chrono::milliseconds longest_run = std::chrono::hours(24);

} // namespace

/// Fields of one kind of request.
template <class Visitor>
void visit_fields(Visitor& visitor, request_kind& value)
{
    using std::chrono::milliseconds;
    visitor.required("name", value.name);
    visitor.required("service", value.service);
    visitor.required("callers", value.callers);
    visitor.number("weight", value.weight, {1, 1'000'000});
    visitor.optional("path", value.path);
    visitor.number("request_bytes", value.request_bytes, {0, 1U << 30U});
    visitor.number("answer_bytes", value.answer_bytes, {0, 1U << 30U});
    visitor.time("deadline_ms", value.deadline, milliseconds(1), longest_run);
    visitor.optional("idempotent", value.idempotent);
    visitor.optional("guarded", value.guarded);
    visitor.number("resend_percent", value.resend_percent, {0, whole_share});
}

/// Fields of one group of callers.
template <class Visitor>
void visit_fields(Visitor& visitor, caller_group& value)
{
    visitor.required("name", value.name);
    visitor.optional("source_block", value.source_block);
    visitor.number("callers", value.callers, {1, 1'000'000});
    visitor.number("heavy_callers", value.heavy_callers, {0, 1'000'000});
    visitor.number("heavy_percent", value.heavy_percent, {0, whole_share});
}

/// Fields of one customer.
template <class Visitor>
void visit_fields(Visitor& visitor, customer_share& value)
{
    visitor.required("key", value.key);
    visitor.number("weight", value.weight, {1, 1'000'000});
}

/// Fields of one burst.
template <class Visitor>
void visit_fields(Visitor& visitor, load_burst& value)
{
    using std::chrono::milliseconds;
    visitor.time("start_ms", value.start, milliseconds(0), longest_run);
    visitor.time("length_ms", value.length, milliseconds(0), longest_run);
    visitor.number("rate_percent", value.rate_percent, {0, 100'000});
}

/// Fields of a whole profile.
template <class Visitor>
void visit_fields(Visitor& visitor, load_profile& value)
{
    using std::chrono::milliseconds;
    visitor.number("rate_per_s", value.rate_per_s, {1, 10'000'000});
    visitor.time("length_ms", value.length, milliseconds(1), longest_run);
    visitor.number("seed", value.seed, {0, ~std::uint64_t{0}});
    visitor.number("keep_alive_percent", value.keep_alive_percent,
                   {0, whole_share});
    visitor.number("come_back_percent", value.come_back_percent,
                   {0, whole_share});
    visitor.number("most_come_backs", value.most_come_backs, {0, 1'000});
    visitor.number("pipeline_depth", value.pipeline_depth, {1, 256});
    visitor.list("requests", value.requests);
    visitor.list("callers", value.callers);
    visitor.list("customers", value.customers);
    visitor.list("bursts", value.bursts);
}

namespace
{

void check_profile(load_profile const& value, config::error_list& errors)
{
    std::set<std::string> groups;
    for (caller_group const& each : value.callers)
    {
        groups.insert(each.name);
        bool const valid_block =
            each.source_block.empty() ||
            config::parse_address_block(each.source_block).has_value();
        if (!valid_block)
        {
            errors.add(
                error_kind::bad_value, fmt::format("callers \"{}\"", each.name),
                "The source block is no address block.", "Write 127.1.1.0/24.");
        }
        if (each.heavy_callers > each.callers)
        {
            errors.add(error_kind::bad_value,
                       fmt::format("callers \"{}\"", each.name),
                       "There are more heavy callers than callers.",
                       "Lower heavy_callers.");
        }
    }
    for (request_kind const& each : value.requests)
    {
        if (!groups.contains(each.callers))
        {
            errors.add(error_kind::unknown_name,
                       fmt::format("requests \"{}\"", each.name),
                       fmt::format("No group is called \"{}\".", each.callers),
                       "Name one of callers.");
        }
    }
    if (value.requests.empty())
    {
        errors.add(error_kind::missing_field, "requests", "The mix is empty.",
                   "Add one kind of request.");
    }
}

} // namespace

absl::StatusOr<load_profile> parse_load_profile(std::string_view text,
                                                std::string_view source_name)
{
    config::error_list errors(source_name);
    std::optional<nlohmann::json> const json = config::parse_json(text, errors);
    if (!json.has_value())
    {
        return errors.status();
    }
    load_profile result;
    config::field_reader reader(*json, "", errors);
    visit_fields(reader, result);
    reader.finish();
    if (errors.empty())
    {
        check_profile(result, errors);
    }
    if (!errors.empty())
    {
        return errors.status();
    }
    return result;
}

} // namespace bilberrylead::load
