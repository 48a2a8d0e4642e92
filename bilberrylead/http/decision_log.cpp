#include "bilberrylead/http/decision_log.hpp"

#include "bilberrylead/core/log_line.hpp"
#include "bilberrylead/entry/effect.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <iterator>
#include <vector>

namespace bilberrylead::http
{

namespace
{

std::string digest_text(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

/// Their names, with commas between.
template <class Iterator>
std::string names_of(Iterator begin, Iterator end)
{
    std::string names;
    for (Iterator each = begin; each != end; ++each)
    {
        names += (each == begin ? "" : ",") + each->text();
    }
    return names;
}

std::string earlier_upstreams(std::vector<upstream_id> const& tried)
{
    return tried.empty() ? std::string()
                         : names_of(tried.begin(), std::prev(tried.end()));
}

void add_admission(log_line& line, entry::admission_report const& admission)
{
    line.number("rank", admission.rank)
        .real("wait_tolerance", admission.wait_tolerance)
        .real("rank_threshold", admission.basis.threshold);
    if (admission.basis.share.has_value())
    {
        line.real("rank_share", *admission.basis.share);
    }
    if (admission.basis.customer_share.has_value())
    {
        line.real("customer_share", *admission.basis.customer_share);
    }
    if (admission.basis.plan_age.has_value())
    {
        line.time("plan_age_ms", *admission.basis.plan_age)
            .text("plan_source", admission.source.text());
    }
}

} // namespace

void log_request(entry::request_ended const& end, std::string const& id)
{
    log_line line("entry", "request");
    line.text("id", id)
        .text("service", end.service.text())
        .number("revision", static_cast<std::int64_t>(end.routed_by))
        .text("outcome", entry::to_string(end.outcome))
        .text("reason",
              end.reason.has_value() ? entry::to_string(*end.reason) : "")
        .number("status", end.status)
        .text("upstream", end.tried.empty() ? "" : end.tried.back().text())
        .text("earlier", earlier_upstreams(end.tried))
        .text("relayed_to", end.relayed_to.text())
        .number("relayed", end.is_relayed ? 1 : 0)
        .text("listing",
              fmt::format("{}.{}", end.placed_by.term, end.placed_by.number))
        .text("region", end.region.text())
        .number("tries", static_cast<std::int64_t>(end.tried.size()))
        .text("digest", digest_text(end.digest))
        .text("caller", end.caller.text())
        .text("customer", end.customer.text())
        .time("expected_wait_ms", end.expected_wait)
        .real("run_factor", end.run_factor)
        .time("usual_run_ms", end.usual_run)
        .time("answered_after_ms", end.time_to_head)
        .time("took_ms", end.took);
    if (!end.customer.empty() &&
        end.reason == entry::refusal_reason::over_limit)
    {
        line.number("limit_share", end.limit_share);
    }
    if (end.limit_age.has_value())
    {
        line.time("limit_age_ms", *end.limit_age);
    }
    if (end.admission.has_value())
    {
        add_admission(line, *end.admission);
    }
    if (end.split.has_value())
    {
        line.text("split_route", end.split->route)
            .number("split_drawn", end.split->drawn)
            .number("split_sum", end.split->sum)
            .number("split_earlier",
                    static_cast<std::int64_t>(end.split->earlier));
    }
    line.write();
}

void log_loss(entry::connection_loss_resolved const& settled)
{
    log_line("entry", "upstream_lost")
        .text("upstream", settled.upstream.text())
        .text("verdict", settled.ended ? "ended" : "takes-connections")
        .write();
}

void log_limited_request(entry::limited_request_sent const& sent,
                         std::string const& id)
{
    log_line line("entry", "limited_request");
    line.text("id", id)
        .text("upstream", sent.upstream.text())
        .real("per_second", sent.use.per_second)
        .real("tokens", sent.use.tokens)
        .real("probability", sent.use.probability);
    if (sent.use.report_age.has_value())
    {
        line.time("report_age_ms", *sent.use.report_age);
    }
    line.write();
}

void log_limit(entry::upstream_limit_changed const& changed)
{
    log_line line("entry", "upstream_limit");
    line.text("upstream", changed.upstream.text())
        .text("verdict", changed.per_second.has_value() ? "limited" : "ended")
        .text("source", changed.from_peer ? "heard" : "own");
    if (changed.per_second.has_value())
    {
        line.real("per_second", *changed.per_second);
    }
    line.write();
}

void log_home_scope(entry::home_scope_changed const& changed)
{
    entry::home_scope_status const& status = changed.status;
    log_line("entry", "home_scope")
        .text("service", changed.service.text())
        .text("scope",
              status.scope == config::object_homes::zone ? "zone" : "region")
        .real("distinct_objects", status.distinct_objects)
        .number("zone_upstreams",
                static_cast<std::int64_t>(status.zone_upstreams))
        .number("region_upstreams",
                static_cast<std::int64_t>(status.region_upstreams))
        .write();
}

void log_restarts(entry::upstreams_restarted const& restarted)
{
    log_line("entry", "upstreams_restarted")
        .text("upstreams",
              names_of(restarted.upstreams.begin(), restarted.upstreams.end()))
        .text("listing", fmt::format("{}.{}", restarted.listing.term,
                                     restarted.listing.number))
        .write();
}

void log_rest(entry::upstream_rest_requested const& requested,
              std::string const& id)
{
    log_line line("entry", "upstream_rest");
    line.text("upstream", requested.upstream.text())
        .text("verdict",
              requested.requested.has_value() ? "resting" : "unreadable")
        .text("answer_to", id);
    if (requested.requested.has_value())
    {
        line.time("requested_ms", *requested.requested)
            .time("remaining_ms", requested.remaining);
    }
    line.write();
}

void log_leaving(entry::upstream_leaving_noticed const& noticed,
                 std::string const& id)
{
    log_line("entry", "upstream_leaving")
        .text("upstream", noticed.upstream.text())
        .text("verdict", noticed.misdirected ? "replaced" : "leaving")
        .text("answer_to", id)
        .write();
}

void log_crash_record(entry::crash_record_changed const& changed)
{
    log_line("entry", "crash_record")
        .text("digest", digest_text(changed.record.digest))
        .number("generation",
                static_cast<std::int64_t>(changed.record.generation))
        .text("ended", names_of(changed.record.ended_upstreams.begin(),
                                changed.record.ended_upstreams.end()))
        .text("verdict", policy::to_string(changed.verdict))
        .text("source", changed.from_peer ? "heard" : "own")
        .write();
}

} // namespace bilberrylead::http
