#include "bilberrylead/load/load_tally.hpp"

#include "bilberrylead/load/percentiles.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>

namespace bilberrylead::load
{

namespace
{

double in_ms(duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

nlohmann::ordered_json latency_json(std::vector<duration>& values)
{
    std::sort(values.begin(), values.end());
    return {{"count", values.size()},
            {"p50", in_ms(percentile(values, 0.5))},
            {"p99", in_ms(percentile(values, 0.99))},
            {"p99_9", in_ms(percentile(values, 0.999))},
            {"max", in_ms(percentile(values, 1))}};
}

void append(std::vector<duration> const& from, std::vector<duration>& into)
{
    into.insert(into.end(), from.begin(), from.end());
}

/// Runs of one name, which is a key or a request id; never both.
std::uint32_t runs_of(run_counts const& runs, std::string const& name)
{
    auto const key = runs.keys.find(name);
    if (key != runs.keys.end())
    {
        return key->second;
    }
    auto const request = runs.requests.find(name);
    return request == runs.requests.end() ? 0 : request->second;
}

std::int64_t count_above(std::vector<std::string> const& names,
                         run_counts const& runs, std::uint32_t allowed)
{
    return std::count_if(names.begin(), names.end(),
                         [&runs, allowed](std::string const& name)
                         {
                             return runs_of(runs, name) > allowed;
                         });
}

} // namespace

void load_tally::attempt_ended(answer_kind kind)
{
    ++this->attempts[kind];
}

void load_tally::request_ended(std::string const& kind_name,
                               request_end const& end)
{
    kind_tally& tally = this->kinds[kind_name];
    ++tally.requests;
    switch (end.kind)
    {
    case answer_kind::done:
        ++tally.whole;
        tally.late += end.late ? 1 : 0;
        (end.come_backs > 0 ? tally.latencies_after_return : tally.latencies)
            .push_back(end.latency);
        this->done_samples.push_back({end.start, end.latency});
        break;
    case answer_kind::not_run:
        ++tally.not_run;
        tally.refusals.push_back(end.latency);
        break;
    case answer_kind::outcome_unknown:
    case answer_kind::in_progress:
        ++tally.outcome_unknown;
        break;
    case answer_kind::refused:
        ++tally.refused;
        break;
    case answer_kind::not_whole:
    case answer_kind::not_own:
    case answer_kind::cut:
    case answer_kind::no_answer:
    case answer_kind::no_connection:
        ++tally.lost;
        break;
    }
}

void load_tally::expect_at_most_one_run(std::string const& key_or_request)
{
    this->at_most_one_run.push_back(key_or_request);
}

void load_tally::expect_no_run(std::string const& key_or_request)
{
    this->no_run.push_back(key_or_request);
}

void load_tally::note_revision(std::string const& steering, revision seen)
{
    revision& last = this->revisions[steering];
    if (seen < last)
    {
        ++this->revisions_reverted;
    }
    last = std::max(last, seen);
}

void load_tally::sent_to(std::string const& entry_host)
{
    ++this->entry_hosts[entry_host];
}

std::vector<latency_sample> const& load_tally::samples() const
{
    return this->done_samples;
}

void load_tally::add_counts(kind_tally const& from, kind_tally& into)
{
    into.requests += from.requests;
    into.whole += from.whole;
    into.not_run += from.not_run;
    into.outcome_unknown += from.outcome_unknown;
    into.refused += from.refused;
    into.lost += from.lost;
    into.late += from.late;
    append(from.latencies, into.latencies);
    append(from.latencies_after_return, into.latencies_after_return);
    append(from.refusals, into.refusals);
}

void load_tally::write_tally(kind_tally& tally, nlohmann::ordered_json& json)
{
    json["requests"] = tally.requests;
    json["whole"] = tally.whole;
    json["lost"] = tally.lost;
    json["not_run"] = tally.not_run;
    json["outcome_unknown"] = tally.outcome_unknown;
    json["refused"] = tally.refused;
    json["late"] = tally.late;
    json["latency_ms"] = latency_json(tally.latencies);
    json["latency_after_return_ms"] =
        latency_json(tally.latencies_after_return);
    json["not_run_ms"] = latency_json(tally.refusals);
}

nlohmann::ordered_json load_tally::report(run_counts const& runs) const
{
    nlohmann::ordered_json json = nlohmann::ordered_json::object();
    kind_tally sum;
    nlohmann::ordered_json by_kind = nlohmann::ordered_json::object();
    for (std::map<std::string, kind_tally>::value_type const& each :
         this->kinds)
    {
        add_counts(each.second, sum);
        kind_tally own = each.second;
        write_tally(own, by_kind[each.first]);
    }
    write_tally(sum, json);
    json["run_twice"] = count_above(this->at_most_one_run, runs, 1);
    json["not_run_but_ran"] = count_above(this->no_run, runs, 0);
    json["revisions_reverted"] = this->revisions_reverted;
    revision newest = 0;
    for (std::map<std::string, revision>::value_type const& each :
         this->revisions)
    {
        newest = std::max(newest, each.second);
    }
    json["revision_seen"] = newest;
    nlohmann::ordered_json attempt_counts = nlohmann::ordered_json::object();
    for (std::map<answer_kind, std::uint64_t>::value_type const& each :
         this->attempts)
    {
        attempt_counts[std::string(to_string(each.first))] = each.second;
    }
    json["attempts"] = attempt_counts;
    auto const not_own = this->attempts.find(answer_kind::not_own);
    json["not_own"] =
        not_own == this->attempts.end() ? std::uint64_t{0} : not_own->second;
    json["sent_ahead"] = this->pipelined.sent_ahead;
    json["surplus_answers"] = this->pipelined.surplus_answers;
    json["entry_hosts"] = this->entry_hosts;
    json["kinds"] = by_kind;
    return json;
}

} // namespace bilberrylead::load
