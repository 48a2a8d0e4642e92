#include "bilberrylead/link/message_reader.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/link/message_tag.hpp"
#include "bilberrylead/link/thousandths.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <utility>
#include <vector>

namespace bilberrylead::link
{

namespace
{

constexpr std::size_t longest_text = 4096;
/// Services and customers have no longer names in the configuration.
constexpr std::size_t longest_admission_name = 63;

absl::Status unknown_value(char const* what)
{
    return make_error(error_kind::bad_value,
                      std::string("A peer's message has an unknown ") + what +
                          ".",
                      "Run the same version on all hosts.");
}

discovery::list_position take_position(cbor_fields& fields)
{
    discovery::list_position position;
    position.term = fields.take_unsigned();
    position.number = fields.take_unsigned();
    return position;
}

/// A list with its length in front. A length beyond the record spoils it with
/// the first missing field.
template <class Take>
std::vector<std::invoke_result_t<Take>> take_list(cbor_fields& fields,
                                                  Take take)
{
    std::vector<std::invoke_result_t<Take>> list;
    std::uint64_t const count = fields.take_unsigned();
    for (std::uint64_t each = 0; each < count && fields.intact(); ++each)
    {
        list.push_back(take());
    }
    return list;
}

/// A list of names.
template <class Id>
std::vector<Id> take_ids(cbor_fields& fields)
{
    return take_list(fields,
                     [&fields]()
                     {
                         return Id(fields.take_text(longest_text));
                     });
}

config::endpoint take_endpoint(cbor_fields& fields)
{
    config::endpoint address;
    address.address = fields.take_text(longest_text);
    address.port = fields.take_unsigned_16();
    return address;
}

/// Demand or shares of admission by service.
std::vector<admission_rows> take_admission(cbor_fields& fields)
{
    auto const take_rank = [&fields]()
    {
        admission_rank each;
        each.rank = fields.take_unsigned_32();
        each.amount = fields.take_unsigned_32();
        return each;
    };
    auto const take_customer = [&fields]()
    {
        admission_customer each;
        each.customer = customer_id(fields.take_text(longest_admission_name));
        each.rank = fields.take_unsigned_32();
        each.amount = fields.take_unsigned_32();
        return each;
    };
    return take_list(fields,
                     [&fields, &take_rank, &take_customer]()
                     {
                         admission_rows each;
                         each.service = service_id(
                             fields.take_text(longest_admission_name));
                         each.ranks = take_list(fields, take_rank);
                         each.customers = take_list(fields, take_customer);
                         return each;
                     });
}

bool is_in_range(admission_rows const& rows, std::uint32_t max_amount)
{
    bool const has_rank_order =
        std::adjacent_find(
            rows.ranks.begin(), rows.ranks.end(),
            [](admission_rank const& left, admission_rank const& right)
            {
                return left.rank >= right.rank;
            }) == rows.ranks.end();
    auto const is_value_in_range = [max_amount](auto const& each)
    {
        return each.rank <= max_admission_rank && each.amount <= max_amount;
    };
    return !rows.service.empty() && has_rank_order &&
           rows.ranks.size() <= max_admission_ranks &&
           rows.customers.size() <= max_admission_customers &&
           std::all_of(rows.ranks.begin(), rows.ranks.end(),
                       is_value_in_range) &&
           std::all_of(rows.customers.begin(), rows.customers.end(),
                       is_value_in_range);
}

bool is_in_range(std::vector<admission_rows> const& services,
                 std::uint32_t max_amount)
{
    return services.size() <= max_admission_services &&
           std::all_of(services.begin(), services.end(),
                       [max_amount](admission_rows const& each)
                       {
                           return is_in_range(each, max_amount);
                       });
}

absl::StatusOr<message> take_presence(cbor_fields& fields)
{
    entry_presence content;
    content.address = take_endpoint(fields);
    content.zone = zone_id(fields.take_text(longest_text));
    content.region = region_id(fields.take_text(longest_text));
    content.ready = fields.take_bool();
    content.stopping = fields.take_bool();
    content.in_force = fields.take_unsigned();
    content.listing = take_position(fields);
    content.demands = take_list(fields,
                                [&fields]()
                                {
                                    service_demand demand;
                                    demand.service = service_id(
                                        fields.take_text(longest_text));
                                    demand.slots = fields.take_unsigned_32();
                                    return demand;
                                });
    // Hosts without admission by plan end the record here.
    if (fields.intact() && !fields.complete())
    {
        content.admission = take_admission(fields);
        if (!is_in_range(*content.admission, max_admission_demand))
        {
            return unknown_value("demand for admission");
        }
    }
    return content;
}

relay_host_list take_relay_hosts(cbor_fields& fields)
{
    relay_host_list content;
    content.hosts =
        take_list(fields,
                  [&fields]()
                  {
                      relay_host host;
                      host.id = host_id(fields.take_text(longest_text));
                      host.address = take_endpoint(fields);
                      host.region = region_id(fields.take_text(longest_text));
                      return host;
                  });
    return content;
}

group_news take_group_news(cbor_fields& fields)
{
    group_news content;
    content.entry_hosts = fields.take_unsigned();
    content.region_entry_hosts = fields.take_unsigned();
    content.control_hosts =
        take_list(fields,
                  [&fields]()
                  {
                      group_host host;
                      host.id = host_id(fields.take_text(longest_text));
                      host.zone = zone_id(fields.take_text(longest_text));
                      host.region = region_id(fields.take_text(longest_text));
                      return host;
                  });
    return content;
}

absl::StatusOr<message> take_region_plan(cbor_fields& fields)
{
    region_plan content;
    content.term = fields.take_unsigned();
    content.shares =
        take_list(fields,
                  [&fields]()
                  {
                      region_share share;
                      share.service =
                          service_id(fields.take_text(longest_text));
                      share.region = region_id(fields.take_text(longest_text));
                      share.share = fields.take_unsigned_32();
                      return share;
                  });
    // Plans that were stored by earlier versions end here.
    if (fields.intact() && !fields.complete())
    {
        content.entry_hosts = fields.take_unsigned();
    }
    if (fields.intact() && !fields.complete())
    {
        admission_shares& shares = content.admission.emplace();
        shares.number = fields.take_unsigned();
        std::int64_t const age = fields.take_signed();
        shares.services = take_admission(fields);
        std::int64_t const max_age =
            std::chrono::milliseconds(max_admission_age).count();
        if (shares.number == 0 || age < 0 || age > max_age ||
            !is_in_range(shares.services,
                         static_cast<std::uint32_t>(thousandths_in_one)))
        {
            return unknown_value("admission plan");
        }
        shares.age = std::chrono::milliseconds(age);
    }
    return content;
}

crash_report take_crash_report(cbor_fields& fields)
{
    crash_report content;
    content.records =
        take_list(fields,
                  [&fields]()
                  {
                      policy::crash_record record;
                      record.digest = fields.take_unsigned();
                      record.generation = fields.take_unsigned();
                      std::vector<upstream_id> const ended =
                          take_ids<upstream_id>(fields);
                      record.ended_upstreams.insert(ended.begin(), ended.end());
                      return record;
                  });
    return content;
}

limit_notice take_limit_notice(cbor_fields& fields)
{
    limit_notice content;
    content.sender = host_id(fields.take_text(longest_text));
    content.reports = take_list(
        fields,
        [&fields]()
        {
            policy::limit_report report;
            report.upstream = upstream_id(fields.take_text(longest_text));
            bool const is_limited = fields.take_bool();
            double const rate = from_thousandths(fields.take_unsigned_32());
            if (is_limited)
            {
                report.per_second = rate;
            }
            report.age = duration(fields.take_signed());
            report.sent = fields.take_unsigned();
            return report;
        });
    return content;
}

customer_usage_report take_usage_report(cbor_fields& fields)
{
    customer_usage_report message;
    message.content.number = fields.take_unsigned();
    message.content.configuration = fields.take_unsigned();
    message.content.rows = take_list(
        fields,
        [&fields]()
        {
            policy::customer_usage usage;
            usage.customer = customer_id(fields.take_text(longest_text));
            usage.rate = fields.take_unsigned();
            usage.burst = fields.take_unsigned();
            usage.arrived = fields.take_unsigned_32();
            usage.accepted = static_cast<std::int32_t>(fields.take_signed());
            usage.share = fields.take_unsigned_32();
            return usage;
        });
    return message;
}

customer_shares take_customer_shares(cbor_fields& fields)
{
    customer_shares message;
    message.content.report = fields.take_unsigned();
    message.content.default_starters = fields.take_unsigned_32();
    message.content.rows =
        take_list(fields,
                  [&fields]()
                  {
                      policy::customer_share share;
                      share.customer =
                          customer_id(fields.take_text(longest_text));
                      share.share = fields.take_unsigned_32();
                      share.starters = fields.take_unsigned_32();
                      return share;
                  });
    return message;
}

discovery::reported_upstream take_upstream(cbor_fields& fields)
{
    discovery::reported_upstream told;
    told.upstream.id = upstream_id(fields.take_text(longest_text));
    told.upstream.service = service_id(fields.take_text(longest_text));
    told.upstream.zone = zone_id(fields.take_text(longest_text));
    told.upstream.address = take_endpoint(fields);
    told.upstream.slots = fields.take_unsigned_32();
    told.upstream.leaving = fields.take_bool();
    told.cold_remaining = duration(fields.take_signed());
    std::chrono::milliseconds const started(fields.take_signed());
    if (started != std::chrono::milliseconds::zero())
    {
        told.started_at = wall_time(started);
    }
    told.incarnation = take_position(fields);
    return told;
}

upstream_update take_upstream_update(cbor_fields& fields)
{
    upstream_update content;
    content.changes.base = take_position(fields);
    content.changes.target = take_position(fields);
    content.changes.is_full = fields.take_bool();
    content.changes.put = take_list(fields,
                                    [&fields]()
                                    {
                                        return take_upstream(fields);
                                    });
    content.changes.removed = take_ids<upstream_id>(fields);
    return content;
}

configuration_update take_update(cbor_fields& fields)
{
    configuration_update content;
    content.target = fields.take_unsigned();
    content.base = fields.take_unsigned();
    content.content = fields.take_bytes();
    return content;
}

registration_reply take_registration(cbor_fields& fields)
{
    registration_reply content;
    content.result.accepted = fields.take_bool();
    content.result.incarnation = fields.take_unsigned();
    content.result.outcomes_unknown = fields.take_unsigned();
    return content;
}

/// The part of a replicated command that entry hosts may ask for; nothing
/// for operators' changes and the log's own time.
std::optional<once::once_command>
as_entry_command(catalog::replicated_command&& command)
{
    if (once::claim* const held = std::get_if<once::claim>(&command))
    {
        return std::move(*held);
    }
    if (once::complete* const held = std::get_if<once::complete>(&command))
    {
        return std::move(*held);
    }
    if (once::release* const held = std::get_if<once::release>(&command))
    {
        return std::move(*held);
    }
    if (once::mark_unknown* const held =
            std::get_if<once::mark_unknown>(&command))
    {
        return std::move(*held);
    }
    return std::nullopt;
}

absl::StatusOr<message> take_once_request(cbor_fields& fields)
{
    once_request content;
    content.number = fields.take_unsigned();
    absl::StatusOr<catalog::replicated_command> command =
        catalog::decode_command(fields.take_bytes());
    if (!command.ok())
    {
        return command.status();
    }
    std::optional<once::once_command> allowed =
        as_entry_command(std::move(*command));
    if (!allowed.has_value())
    {
        return unknown_value("command");
    }
    content.command = std::move(*allowed);
    return content;
}

std::optional<once::claim_verdict> take_verdict(cbor_fields& fields)
{
    switch (static_cast<verdict_tag>(fields.take_unsigned()))
    {
    case verdict_tag::granted:
        return once::claim_granted{};
    case verdict_tag::in_progress:
        return once::claim_in_progress{};
    case verdict_tag::recorded:
    {
        once::claim_recorded verdict;
        verdict.answer.status = fields.take_unsigned_16();
        verdict.answer.content_type = fields.take_text(longest_text);
        verdict.answer.body = fields.take_bytes();
        verdict.answer.body_dropped = fields.take_bool();
        return verdict;
    }
    case verdict_tag::outcome_unknown:
        return once::claim_outcome_unknown{};
    case verdict_tag::mismatch:
        return once::claim_mismatch{};
    case verdict_tag::refused:
    {
        once::claim_refused verdict;
        std::uint64_t const reason = fields.take_unsigned();
        std::uint64_t const last =
            static_cast<std::uint64_t>(once::claim_refusal::abandoned);
        if (reason > last)
        {
            return std::nullopt;
        }
        verdict.reason = static_cast<once::claim_refusal>(reason);
        verdict.retry_after = duration(fields.take_signed());
        return verdict;
    }
    }
    return std::nullopt;
}

absl::StatusOr<message> take_claim_reply(cbor_fields& fields)
{
    claim_reply content;
    content.number = fields.take_unsigned();
    std::optional<once::claim_verdict> verdict = take_verdict(fields);
    if (!verdict.has_value())
    {
        return unknown_value("verdict");
    }
    content.verdict = std::move(*verdict);
    return content;
}

absl::StatusOr<message> take_settle_reply(cbor_fields& fields)
{
    settle_reply content;
    content.number = fields.take_unsigned();
    std::uint64_t const result = fields.take_unsigned();
    if (result > static_cast<std::uint64_t>(once::settle_result::no_record))
    {
        return unknown_value("result");
    }
    content.result = static_cast<once::settle_result>(result);
    return content;
}

absl::StatusOr<message> take_message(cbor_fields& fields)
{
    switch (static_cast<message_tag>(fields.take_unsigned()))
    {
    case message_tag::replica_message:
        return replica_message{fields.take_bytes()};
    case message_tag::subscription:
    {
        subscription content;
        content.in_force = fields.take_unsigned();
        content.wanted =
            fields.take_bool() ? delivery::pushed : delivery::announced;
        return content;
    }
    case message_tag::revision_announcement:
        return revision_announcement{fields.take_unsigned()};
    case message_tag::configuration_update:
        return take_update(fields);
    case message_tag::registration_request:
        return registration_request{fields.take_unsigned()};
    case message_tag::registration_reply:
        return take_registration(fields);
    case message_tag::once_request:
        return take_once_request(fields);
    case message_tag::claim_reply:
        return take_claim_reply(fields);
    case message_tag::settle_reply:
        return take_settle_reply(fields);
    case message_tag::leader_notice:
    {
        leader_notice content;
        content.leader = host_id(fields.take_text(longest_text));
        content.refused_number = fields.take_unsigned();
        return content;
    }
    case message_tag::entry_presence:
        return take_presence(fields);
    case message_tag::host_place:
    {
        host_place content;
        content.zone = zone_id(fields.take_text(longest_text));
        content.region = region_id(fields.take_text(longest_text));
        return content;
    }
    case message_tag::group_news:
        return take_group_news(fields);
    case message_tag::upstream_update:
        return take_upstream_update(fields);
    case message_tag::upstream_contact_notice:
        return upstream_contact_notice{fields.take_bool()};
    case message_tag::relay_host_list:
        return take_relay_hosts(fields);
    case message_tag::upstream_request:
        return upstream_request{take_position(fields)};
    case message_tag::region_plan:
        return take_region_plan(fields);
    case message_tag::crash_report:
        return take_crash_report(fields);
    case message_tag::limit_notice:
        return take_limit_notice(fields);
    case message_tag::customer_usage_report:
        return take_usage_report(fields);
    case message_tag::customer_shares:
        return take_customer_shares(fields);
    }
    return unknown_value("kind");
}

} // namespace

absl::StatusOr<message> read_message(cbor_fields& fields)
{
    absl::StatusOr<message> content = take_message(fields);
    if (content.ok() && !fields.complete())
    {
        return unknown_value("field");
    }
    return content;
}

} // namespace bilberrylead::link
