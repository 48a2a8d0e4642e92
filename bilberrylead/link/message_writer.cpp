#include "bilberrylead/link/message_writer.hpp"

#include "bilberrylead/catalog/replicated_command.hpp"
#include "bilberrylead/link/message_tag.hpp"
#include "bilberrylead/link/thousandths.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>
#include <vector>

namespace bilberrylead::link
{

namespace
{

using json = nlohmann::json;

/// A larger limit of an upstream is told as this one, requests a second.
constexpr double largest_told_limit = 1e6;

json with_tag(message_tag kind)
{
    return json::array({static_cast<std::uint64_t>(kind)});
}

/// Appends a verdict's fields to a record.
struct verdict_writer
{
    void operator()(once::claim_granted const&) const
    {
        this->put(verdict_tag::granted);
    }

    void operator()(once::claim_in_progress const&) const
    {
        this->put(verdict_tag::in_progress);
    }

    void operator()(once::claim_recorded const& verdict) const
    {
        this->put(verdict_tag::recorded);
        this->record.push_back(verdict.answer.status);
        this->record.push_back(verdict.answer.content_type);
        this->record.push_back(json::binary(verdict.answer.body));
        this->record.push_back(verdict.answer.body_dropped);
    }

    void operator()(once::claim_outcome_unknown const&) const
    {
        this->put(verdict_tag::outcome_unknown);
    }

    void operator()(once::claim_mismatch const&) const
    {
        this->put(verdict_tag::mismatch);
    }

    void operator()(once::claim_refused const& verdict) const
    {
        this->put(verdict_tag::refused);
        this->record.push_back(static_cast<std::uint64_t>(verdict.reason));
        this->record.push_back(verdict.retry_after.count());
    }

    void put(verdict_tag kind) const
    {
        this->record.push_back(static_cast<std::uint64_t>(kind));
    }

    json& record;
};

/// Turns each message into its record.
struct message_writer
{
    json operator()(replica_message const& content) const
    {
        json record = with_tag(message_tag::replica_message);
        record.push_back(json::binary(content.content));
        return record;
    }

    json operator()(subscription const& content) const
    {
        json record = with_tag(message_tag::subscription);
        record.push_back(content.in_force);
        record.push_back(content.wanted == delivery::pushed);
        return record;
    }

    json operator()(revision_announcement const& content) const
    {
        json record = with_tag(message_tag::revision_announcement);
        record.push_back(content.in_force);
        return record;
    }

    json operator()(configuration_update const& content) const
    {
        json record = with_tag(message_tag::configuration_update);
        record.push_back(content.target);
        record.push_back(content.base);
        record.push_back(json::binary(content.content));
        return record;
    }

    json operator()(registration_request const& content) const
    {
        json record = with_tag(message_tag::registration_request);
        record.push_back(content.incarnation);
        return record;
    }

    json operator()(registration_reply const& content) const
    {
        json record = with_tag(message_tag::registration_reply);
        record.push_back(content.result.accepted);
        record.push_back(content.result.incarnation);
        record.push_back(content.result.outcomes_unknown);
        return record;
    }

    json operator()(once_request const& content) const
    {
        json record = with_tag(message_tag::once_request);
        record.push_back(content.number);
        bytes const command = std::visit(
            [](catalog::replicated_command const& held)
            {
                return catalog::encode_command(held);
            },
            content.command);
        record.push_back(json::binary(command));
        return record;
    }

    json operator()(claim_reply const& content) const
    {
        json record = with_tag(message_tag::claim_reply);
        record.push_back(content.number);
        std::visit(verdict_writer{record}, content.verdict);
        return record;
    }

    json operator()(settle_reply const& content) const
    {
        json record = with_tag(message_tag::settle_reply);
        record.push_back(content.number);
        record.push_back(static_cast<std::uint64_t>(content.result));
        return record;
    }

    json operator()(leader_notice const& content) const
    {
        json record = with_tag(message_tag::leader_notice);
        record.push_back(content.leader.text());
        record.push_back(content.refused_number);
        return record;
    }

    json operator()(entry_presence const& content) const
    {
        json record = with_tag(message_tag::entry_presence);
        record.push_back(content.address.address);
        record.push_back(content.address.port);
        record.push_back(content.zone.text());
        record.push_back(content.region.text());
        record.push_back(content.ready);
        record.push_back(content.stopping);
        record.push_back(content.in_force);
        put_position(content.listing, record);
        record.push_back(content.demands.size());
        for (service_demand const& each : content.demands)
        {
            record.push_back(each.service.text());
            record.push_back(each.slots);
        }
        if (content.admission.has_value())
        {
            put_admission(*content.admission, record);
        }
        return record;
    }

    json operator()(host_place const& content) const
    {
        json record = with_tag(message_tag::host_place);
        record.push_back(content.zone.text());
        record.push_back(content.region.text());
        return record;
    }

    json operator()(group_news const& content) const
    {
        json record = with_tag(message_tag::group_news);
        record.push_back(content.entry_hosts);
        record.push_back(content.region_entry_hosts);
        record.push_back(content.control_hosts.size());
        for (group_host const& host : content.control_hosts)
        {
            record.push_back(host.id.text());
            record.push_back(host.zone.text());
            record.push_back(host.region.text());
        }
        return record;
    }

    json operator()(upstream_update const& content) const
    {
        json record = with_tag(message_tag::upstream_update);
        put_position(content.changes.base, record);
        put_position(content.changes.target, record);
        record.push_back(content.changes.is_full);
        record.push_back(content.changes.put.size());
        for (discovery::reported_upstream const& each : content.changes.put)
        {
            put_upstream(each, record);
        }
        record.push_back(content.changes.removed.size());
        for (upstream_id const& id : content.changes.removed)
        {
            record.push_back(id.text());
        }
        return record;
    }

    json operator()(upstream_contact_notice const& content) const
    {
        json record = with_tag(message_tag::upstream_contact_notice);
        record.push_back(content.lost);
        return record;
    }

    json operator()(relay_host_list const& content) const
    {
        json record = with_tag(message_tag::relay_host_list);
        record.push_back(content.hosts.size());
        for (relay_host const& each : content.hosts)
        {
            record.push_back(each.id.text());
            record.push_back(each.address.address);
            record.push_back(each.address.port);
            record.push_back(each.region.text());
        }
        return record;
    }

    json operator()(upstream_request const& content) const
    {
        json record = with_tag(message_tag::upstream_request);
        put_position(content.held, record);
        return record;
    }

    json operator()(region_plan const& content) const
    {
        json record = with_tag(message_tag::region_plan);
        record.push_back(content.term);
        record.push_back(content.shares.size());
        for (region_share const& each : content.shares)
        {
            record.push_back(each.service.text());
            record.push_back(each.region.text());
            record.push_back(each.share);
        }
        if (content.entry_hosts > 0 || content.admission.has_value())
        {
            record.push_back(content.entry_hosts);
        }
        if (content.admission.has_value())
        {
            using std::chrono::milliseconds;
            record.push_back(content.admission->number);
            record.push_back(
                std::chrono::duration_cast<milliseconds>(content.admission->age)
                    .count());
            put_admission(content.admission->services, record);
        }
        return record;
    }

    json operator()(crash_report const& content) const
    {
        json record = with_tag(message_tag::crash_report);
        record.push_back(content.records.size());
        for (policy::crash_record const& each : content.records)
        {
            record.push_back(each.digest);
            record.push_back(each.generation);
            record.push_back(each.ended_upstreams.size());
            for (upstream_id const& id : each.ended_upstreams)
            {
                record.push_back(id.text());
            }
        }
        return record;
    }

    json operator()(limit_notice const& content) const
    {
        json record = with_tag(message_tag::limit_notice);
        record.push_back(content.sender.text());
        record.push_back(content.reports.size());
        for (policy::limit_report const& each : content.reports)
        {
            record.push_back(each.upstream.text());
            record.push_back(each.per_second.has_value());
            record.push_back(to_thousandths(
                std::min(each.per_second.value_or(0), largest_told_limit)));
            record.push_back(each.age.count());
            record.push_back(each.sent);
        }
        return record;
    }

    json operator()(customer_usage_report const& content) const
    {
        json record = with_tag(message_tag::customer_usage_report);
        record.push_back(content.content.number);
        record.push_back(content.content.configuration);
        record.push_back(content.content.rows.size());
        for (policy::customer_usage const& each : content.content.rows)
        {
            record.push_back(each.customer.text());
            record.push_back(each.rate);
            record.push_back(each.burst);
            record.push_back(each.arrived);
            record.push_back(std::int64_t{each.accepted});
            record.push_back(each.share);
        }
        return record;
    }

    json operator()(customer_shares const& content) const
    {
        json record = with_tag(message_tag::customer_shares);
        record.push_back(content.content.report);
        record.push_back(content.content.default_starters);
        record.push_back(content.content.rows.size());
        for (policy::customer_share const& each : content.content.rows)
        {
            record.push_back(each.customer.text());
            record.push_back(each.share);
            record.push_back(each.starters);
        }
        return record;
    }

    static void put_admission(std::vector<admission_rows> const& services,
                              json& record)
    {
        record.push_back(services.size());
        for (admission_rows const& service : services)
        {
            record.push_back(service.service.text());
            record.push_back(service.ranks.size());
            for (admission_rank const& each : service.ranks)
            {
                record.push_back(each.rank);
                record.push_back(each.amount);
            }
            record.push_back(service.customers.size());
            for (admission_customer const& each : service.customers)
            {
                record.push_back(each.customer.text());
                record.push_back(each.rank);
                record.push_back(each.amount);
            }
        }
    }

    static void put_position(discovery::list_position const& position,
                             json& record)
    {
        record.push_back(position.term);
        record.push_back(position.number);
    }

    /// Labels and connections stay out: the list knows neither.
    static void put_upstream(discovery::reported_upstream const& told,
                             json& record)
    {
        record.push_back(told.upstream.id.text());
        record.push_back(told.upstream.service.text());
        record.push_back(told.upstream.zone.text());
        record.push_back(told.upstream.address.address);
        record.push_back(told.upstream.address.port);
        record.push_back(told.upstream.slots);
        record.push_back(told.upstream.leaving);
        record.push_back(told.cold_remaining.count());
        record.push_back(told.started_at.has_value()
                             ? told.started_at->time_since_epoch().count()
                             : 0);
        put_position(told.incarnation, record);
    }
};

} // namespace

nlohmann::json write_message(message const& content)
{
    return std::visit(message_writer{}, content);
}

} // namespace bilberrylead::link
