#include "bilberrylead/core/error.hpp"
#include "bilberrylead/daemon/operator_api.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

using json = nlohmann::json;

json outcome_json(catalog::change_outcome const& outcome)
{
    struct writer
    {
        json operator()(catalog::change_accepted const& held) const
        {
            return {{"outcome", "accepted"}, {"revision", held.accepted}};
        }

        json operator()(catalog::change_already_accepted const& held) const
        {
            return {{"outcome", "already_accepted"},
                    {"revision", held.accepted}};
        }

        json operator()(catalog::change_conflict const& held) const
        {
            return {{"outcome", "conflict"},
                    {"current_revision", held.current},
                    {"winner", held.winner.text()},
                    {"winner_operator", held.winner_operator}};
        }

        json operator()(catalog::change_id_reused const&) const
        {
            return {{"outcome", "change_id_reused"}};
        }
    };
    return std::visit(writer{}, outcome);
}

unsigned status_for(catalog::change_outcome const& outcome)
{
    if (std::holds_alternative<catalog::change_conflict>(outcome))
    {
        return 409;
    }
    if (std::holds_alternative<catalog::change_id_reused>(outcome))
    {
        return 422;
    }
    return 200;
}

unsigned status_for(absl::Status const& status)
{
    switch (kind_of(status).value_or(error_kind::storage))
    {
    case error_kind::syntax:
    case error_kind::unknown_field:
    case error_kind::missing_field:
    case error_kind::bad_value:
    case error_kind::unknown_name:
    case error_kind::duplicate_name:
        return 400;
    case error_kind::not_trusted:
        return 401;
    case error_kind::conflict:
        return 409;
    case error_kind::not_leader:
        return 421;
    case error_kind::timeout:
        return 504;
    default:
        return 503;
    }
}

link::http_answer as_answer(unsigned status, json const& body)
{
    // Messages quote what was sent, which need not be UTF-8; a strict dump
    // would throw and end the host.
    return {status, "application/json",
            body.dump(2, ' ', false, json::error_handler_t::replace) + "\n"};
}

/// Turns each reply into its answer.
struct reply_writer
{
    link::http_answer operator()(catalog::change_outcome const& held) const
    {
        return as_answer(status_for(held), outcome_json(held));
    }

    link::http_answer operator()(control::configuration_reply const& held) const
    {
        return as_answer(200, {{"revision", held.number},
                               {"document", std::string(held.document.begin(),
                                                        held.document.end())}});
    }

    link::http_answer operator()(control::audit_reply const& held) const
    {
        json entries = json::array();
        for (catalog::audit_entry const& entry : held.entries)
        {
            entries.push_back({{"number", entry.number},
                               {"change_id", entry.change.text()},
                               {"operator", entry.operator_name},
                               {"at", fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                                                  entry.accepted_at)},
                               {"base_revision", entry.base_revision},
                               {"document_bytes", entry.document_bytes},
                               {"document_digest",
                                fmt::format("{:016x}", entry.document_digest)},
                               {"result", outcome_json(entry.result)}});
        }
        return as_answer(200, {{"entries", entries}});
    }

    link::http_answer operator()(control::status_reply const& held) const
    {
        json members = json::array();
        for (agreement::member const& member : held.members.members)
        {
            members.push_back({{"host", member.host.text()},
                               {"incarnation", member.incarnation},
                               {"voter", member.voter}});
        }
        json hosts = json::object();
        for (std::pair<host_id const, revision> const& row : held.entry_hosts)
        {
            hosts[row.first.text()] = row.second;
        }
        return as_answer(200, {{"host", held.host.text()},
                               {"incarnation", held.incarnation},
                               {"role", agreement::to_string(held.role)},
                               {"term", held.term},
                               {"leader", held.leader.text()},
                               {"commit_index", held.commit_index},
                               {"last_index", held.last_index},
                               {"revision", held.accepted},
                               {"members", members},
                               {"entry_hosts", hosts},
                               {"claims", held.claims}});
    }

    link::http_answer operator()(control::done_reply const&) const
    {
        return as_answer(200, {{"outcome", "done"}});
    }

    link::http_answer operator()(catalog::order_outcome held) const
    {
        bool const taken = held == catalog::order_outcome::taken;
        return as_answer(200, {{"outcome", taken ? "taken" : "nothing_to_do"}});
    }

    link::http_answer operator()(control::orders_reply const& held) const
    {
        return as_answer(200, {{"version", held.version},
                               {"document", std::string(held.document.begin(),
                                                        held.document.end())}});
    }

    link::http_answer operator()(control::crash_records_reply const& held) const
    {
        json requests = json::array();
        for (control::crash_record_row const& row : held.rows)
        {
            json ended = json::array();
            for (upstream_id const& upstream : row.record.ended_upstreams)
            {
                ended.push_back(upstream.text());
            }
            requests.push_back(
                {{"digest", fmt::format("{:016x}", row.record.digest)},
                 {"verdict", policy::to_string(row.verdict)},
                 {"ended", ended}});
        }
        return as_answer(200, {{"requests", requests}});
    }

    link::http_answer operator()(control::customers_reply const& held) const
    {
        json customers = json::array();
        for (policy::customer_limit_status const& row : held.rows)
        {
            customers.push_back({{"name", row.customer.text()},
                                 {"per_second", row.rate},
                                 {"burst", row.burst},
                                 {"saved", row.saved},
                                 {"demand_per_second", row.demand},
                                 {"arrived", row.arrived},
                                 {"refused", row.refused},
                                 {"share_holders", row.share_holders}});
        }
        return as_answer(200,
                         {{"customers", customers}, {"omitted", held.omitted}});
    }

    link::http_answer operator()(control::admission_reply const& held) const
    {
        json services = json::array();
        for (control::admission_status const& service : held.services)
        {
            json ranks = json::array();
            for (control::admission_rank_status const& each : service.ranks)
            {
                ranks.push_back({{"rank", each.rank},
                                 {"demand_slots", each.demand},
                                 {"share", each.share}});
            }
            json customers = json::array();
            for (control::admission_customer_status const& each :
                 service.customers)
            {
                customers.push_back({{"name", each.customer.text()},
                                     {"rank", each.rank},
                                     {"demand_slots", each.demand},
                                     {"share", each.share}});
            }
            services.push_back({{"name", service.service.text()},
                                {"slots", service.slots},
                                {"ranks", ranks},
                                {"customers", customers}});
        }
        using std::chrono::milliseconds;
        return as_answer(
            200, {{"by_plan", held.by_plan},
                  {"term", held.term},
                  {"number", held.number},
                  {"age_ms",
                   std::chrono::duration_cast<milliseconds>(held.age).count()},
                  {"hosts", held.hosts},
                  {"reporting_hosts", held.reporting},
                  {"services", services}});
    }

    link::http_answer operator()(absl::Status const& status) const
    {
        std::string const kind(
            to_string(kind_of(status).value_or(error_kind::storage)));
        return as_answer(
            status_for(status),
            {{"error", kind}, {"message", std::string(status.message())}});
    }
};

} // namespace

link::http_answer write_operator_reply(control::operator_reply const& reply)
{
    return std::visit(reply_writer{}, reply);
}

} // namespace bilberrylead::daemon
