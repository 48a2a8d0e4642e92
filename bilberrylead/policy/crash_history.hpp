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

/// Requests that were running on upstreams when these ended. Hosts share the
/// history by exchanging records.
///
/// Protects against a request that crashes every upstream that runs it. It is
/// retried on other upstreams, and its caller repeats it at other entry hosts.
/// Without a history over attempts and hosts it ends one upstream after the
/// other, with all concurrent requests. Most of the requests that run on an
/// upstream when it ends are not the cause. A single crash therefore restricts
/// no request, and a complete answer clears a request.
class crash_history
{
public:
    /// Creates an empty history.
    explicit crash_history(crash_history_settings const& settings = {});

    /// Whether the request may run.
    crash_verdict verdict_of(std::uint64_t digest) const;

    /// Whether the request may be retried after attempts that lost their
    /// connections to `unresolved` upstreams, which may have ended. These count
    /// towards a restriction, but never towards a refusal.
    crash_verdict verdict_of_retry(std::uint64_t digest,
                                   std::size_t unresolved) const;

    /// Records that the upstream ended while it ran the request, which was sent
    /// to it at `sent`. Returns the record if it changed. A request that was
    /// sent after the last end of the upstream was known here has ended a later
    /// incarnation.
    std::optional<crash_record> record_crash(std::uint64_t digest,
                                             upstream_id const& upstream,
                                             instant sent, instant now);

    /// Clears the request, after a complete answer or by order of an operator.
    /// Returns the record if upstreams had ended while they ran it.
    std::optional<crash_record> clear(std::uint64_t digest, instant now);

    /// Records that the request was repeated and refused.
    void record_repeat(std::uint64_t digest, instant now);

    /// Merges the records of another host.
    crash_merge merge(std::vector<crash_record> const& records, instant now);

    /// Removes expired records.
    void expire(instant now);

    /// All records, for a newly connected host.
    std::vector<crash_record> records() const;

    /// Whether a request with that record may run.
    crash_verdict verdict_of(crash_record const& record) const;

    /// Number of requests that are refused now.
    std::size_t refused_count() const;

    /// Number of records held.
    std::size_t size() const
    {
        return this->entries.size();
    }

    /// Total number of records evicted because the history was full.
    std::uint64_t evicted_count() const
    {
        return this->evictions;
    }

private:
    struct entry
    {
        crash_record record;
        instant last_seen;
        // When each end in the record became known here.
        std::map<upstream_id, instant> known_at = {};
    };

    using entry_map = std::map<std::uint64_t, entry>;

    entry& entry_of(std::uint64_t digest, instant now);
    entry_map::const_iterator eviction_candidate() const;
    bool accepts(crash_record const& received) const;
    static void replace(entry& held, crash_record record, instant now);

    crash_history_settings settings;
    entry_map entries;
    instant last_expiry_at{};
    std::uint64_t evictions = 0;
};

} // namespace bilberrylead::policy

#endif
