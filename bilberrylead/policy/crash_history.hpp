#ifndef BILBERRYLEAD_POLICY_CRASH_HISTORY_HPP
#define BILBERRYLEAD_POLICY_CRASH_HISTORY_HPP

#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/policy/crash_history_settings.hpp"
#include "bilberrylead/policy/crash_merge.hpp"
#include "bilberrylead/policy/crash_record.hpp"
#include "bilberrylead/policy/crash_verdict.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// Requests that ran on upstreams when these ended, known to all hosts by
/// exchanged records.
///
/// Load it answers: a request that crashes each upstream that runs it. It is
/// tried again on other upstreams, and its caller repeats it at other entry
/// hosts; without a memory over attempts and hosts it ends one upstream
/// after the other, with everything that ran beside it. Most of the requests
/// that run on an upstream when it ends are innocent, so that one crash
/// restricts nothing, and a whole answer clears a request.
class crash_history
{
public:
    /// Makes an empty history.
    explicit crash_history(crash_history_settings const& settings = {});

    /// Whether the request may run.
    crash_verdict verdict_of(std::uint64_t digest) const;

    /// The upstream ended while it ran the request. Returns the record if it
    /// changed.
    std::optional<crash_record> record_crash(std::uint64_t digest,
                                             upstream_id const& upstream,
                                             instant now);

    /// The request got a whole answer, or an operator lets it run again.
    /// Returns the record if upstreams had ended under it.
    std::optional<crash_record> clear(std::uint64_t digest, instant now);

    /// The request came again and was refused.
    void record_repeat(std::uint64_t digest, instant now);

    /// Takes another host's records.
    crash_merge merge(std::vector<crash_record> const& records, instant now);

    /// Forgets what is too old.
    void expire(instant now);

    /// All records, for a host that is linked.
    std::vector<crash_record> records() const;

    /// Whether a request with that record may run.
    crash_verdict verdict_of(crash_record const& record) const;

    /// Requests that are refused now.
    std::size_t refused_count() const;

    /// Records held.
    std::size_t size() const
    {
        return this->entries.size();
    }

    /// Records that were evicted, since there were too many.
    std::uint64_t evicted_count() const
    {
        return this->evictions;
    }

private:
    struct entry
    {
        crash_record record;
        instant last_seen;
    };

    using entry_map = std::map<std::uint64_t, entry>;

    entry& entry_of(std::uint64_t digest, instant now);
    entry_map::const_iterator eviction_candidate() const;
    bool accepts(crash_record const& received) const;

    crash_history_settings settings;
    entry_map entries;
    instant last_expiry_at{};
    std::uint64_t evictions = 0;
};

} // namespace bilberrylead::policy

#endif
