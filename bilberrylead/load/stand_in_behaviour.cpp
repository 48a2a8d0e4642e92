#include "bilberrylead/load/stand_in_behaviour.hpp"

#include "bilberrylead/config/error_list.hpp"
#include "bilberrylead/config/field_reader.hpp"
#include "bilberrylead/config/field_writer.hpp"
#include "bilberrylead/config/json_text.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace bilberrylead::load
{

namespace
{

constexpr std::uint32_t most_percent = 100'000;
constexpr std::uint32_t whole_share = 100;

template <class Visitor, class Value>
void visit_times(Visitor& visitor, Value& value)
{
    using std::chrono::hours;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;
    visitor.time("service_time_us", value.service_time, microseconds(0),
                 microseconds(hours(1)));
    visitor.number("spread_percent", value.spread_percent, {0, 300});
    visitor.time("cold_start_ms", value.cold_start, milliseconds(0),
                 milliseconds(hours(1)));
    visitor.number("cold_percent", value.cold_percent, {1, most_percent});
    visitor.number("slow_percent", value.slow_percent, {1, most_percent});
    visitor.time("moment_period_ms", value.moment_period, milliseconds(0),
                 milliseconds(hours(1)));
    visitor.number("moment_percent", value.moment_percent, {1, most_percent});
    visitor.time("load_lag_ms", value.load_lag, milliseconds(0),
                 milliseconds(hours(1)));
    visitor.time("late_ms", value.late, milliseconds(0),
                 milliseconds(hours(1)));
    visitor.time("rest_ms", value.rest, milliseconds(0),
                 milliseconds(hours(1)));
}

template <class Visitor, class Value>
void visit_shares(Visitor& visitor, Value& value)
{
    visitor.number("moment_share_percent", value.moment_share_percent,
                   {0, whole_share});
    visitor.number("shed_percent", value.shed_percent, {0, whole_share});
    visitor.number("late_percent", value.late_percent, {0, whole_share});
    visitor.number("swap_percent", value.swap_percent, {0, whole_share});
    visitor.number("duplicate_percent", value.duplicate_percent,
                   {0, whole_share});
    visitor.number("cut_percent", value.cut_percent, {0, whole_share});
    visitor.number("drop_percent", value.drop_percent, {0, whole_share});
}

/// Works for reading (Value) and writing (Value const).
template <class Visitor, class Value>
void visit_behaviour(Visitor& visitor, Value& value)
{
    visitor.number("slots", value.slots, {0, 100'000});
    visitor.number("connections", value.connections, {0, 1'000'000});
    visitor.number("queue", value.queue, {0, 1'000'000});
    visit_times(visitor, value);
    visit_shares(visitor, value);
    visitor.number("load_figures", value.load_figures, {0, 4});
    visitor.number("load_shown_percent", value.load_shown_percent,
                   {0, most_percent});
    visitor.optional("load_answers", value.load_answers);
    visitor.optional("healthy", value.healthy);
    visitor.optional("leaving", value.leaving);
    visitor.number("limit_per_s", value.limit_per_s, {0, 1'000'000});
    visitor.number("answer_bytes", value.answer_bytes, {0, 1U << 30U});
    visitor.number("download_bytes_per_s", value.download_bytes_per_s,
                   {0, 1'000'000'000'000});
    visitor.optional("honours_cancellation", value.honours_cancellation);
    visitor.optional("honours_deadlines", value.honours_deadlines);
}

} // namespace

absl::Status change_behaviour(std::string_view text,
                              std::string_view source_name,
                              stand_in_behaviour& value)
{
    config::error_list errors(source_name);
    std::optional<nlohmann::json> const json = config::parse_json(text, errors);
    if (!json.has_value())
    {
        return errors.status();
    }
    stand_in_behaviour changed = value;
    config::field_reader reader(*json, "", errors);
    visit_behaviour(reader, changed);
    reader.finish();
    if (errors.empty())
    {
        value = changed;
    }
    return errors.status();
}

std::string render_behaviour(stand_in_behaviour const& value)
{
    nlohmann::ordered_json json;
    config::field_writer writer(json);
    visit_behaviour(writer, value);
    return json.dump();
}

} // namespace bilberrylead::load
