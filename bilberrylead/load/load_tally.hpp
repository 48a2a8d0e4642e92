#ifndef BILBERRYLEAD_LOAD_LOAD_TALLY_HPP
#define BILBERRYLEAD_LOAD_LOAD_TALLY_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/answer_kind.hpp"
#include "bilberrylead/load/latency_sample.hpp"
#include "bilberrylead/load/pipelined_counts.hpp"
#include "bilberrylead/load/run_counts.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrylead::load
{

/// How one request ended for its caller, all attempts counted in.
struct request_end
{
    /// The last attempt's end.
    answer_kind kind = answer_kind::no_answer;
    /// When the request started, from the run's start.
    duration start{};
    /// From the start, or from the last coming back, to the end.
    duration latency{};
    /// True: done, but after its deadline.
    bool late = false;
    /// How often it came back after "not run".
    std::uint32_t come_backs = 0;
};

/// Counts what callers saw, and holds it against what upstreams ran.
class load_tally
{
public:
    /// Counts one attempt, whether or not it is the request's last.
    void attempt_ended(answer_kind kind);

    /// Counts one request of a kind of request.
    void request_ended(std::string const& kind_name, request_end const& end);

    /// Remembers work that must not run twice, by key or by request id.
    void expect_at_most_one_run(std::string const& key_or_request);

    /// Remembers work whose caller was told for good that it did not run.
    void expect_no_run(std::string const& key_or_request);

    /// Notes the revision of a steering answer, by who gave it; a lower
    /// one than before is a configuration that went back.
    void note_revision(std::string const& steering, revision seen);

    /// Counts a request for each entry host.
    void sent_to(std::string const& entry_host);

    /// Sets what was sent over pipelined connections.
    void note_pipelined(pipelined_counts const& counts)
    {
        this->pipelined = counts;
    }

    /// The report as docs/LOAD.md describes it, held against these runs.
    nlohmann::ordered_json report(run_counts const& runs) const;

    /// Latency of every request that was done, in the order of their ends.
    std::vector<latency_sample> const& samples() const;

private:
    struct kind_tally
    {
        std::uint64_t requests = 0;
        std::uint64_t whole = 0;
        std::uint64_t not_run = 0;
        std::uint64_t outcome_unknown = 0;
        std::uint64_t refused = 0;
        std::uint64_t lost = 0;
        std::uint64_t late = 0;
        std::vector<duration> latencies;
        std::vector<duration> latencies_after_return;
        std::vector<duration> refusals;
    };

    static void add_counts(kind_tally const& from, kind_tally& into);
    static void write_tally(kind_tally& tally, nlohmann::ordered_json& json);

    std::map<std::string, kind_tally> kinds;
    std::map<answer_kind, std::uint64_t> attempts;
    std::vector<std::string> at_most_one_run;
    std::vector<std::string> no_run;
    std::map<std::string, revision> revisions;
    std::uint64_t revisions_reverted = 0;
    std::map<std::string, std::uint64_t> entry_hosts;
    std::vector<latency_sample> done_samples;
    pipelined_counts pipelined;
};

} // namespace bilberrylead::load

#endif
