#ifndef BILBERRYLEAD_POLICY_SLOT_TABLE_HPP
#define BILBERRYLEAD_POLICY_SLOT_TABLE_HPP

#include "bilberrylead/policy/service_time_estimate.hpp"
#include "bilberrylead/policy/slot_grant.hpp"
#include "bilberrylead/policy/slot_pool.hpp"
#include "bilberrylead/policy/slot_table_settings.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace bilberrylead::policy
{

/// The slots of a zone's upstreams of one service, and who holds them.
///
/// Load it answers: many entry hosts in front of upstreams with three slots
/// each. Entry hosts that choose by their own counts fill a busy upstream's
/// queue while another one's slots stand empty, and cannot know it. One
/// table that every slot is taken from and given back to knows it exactly.
/// A slow upstream's slots are taken last, when waiting for a fast one would
/// take longer. Memory is taken at construction.
class slot_table
{
public:
    /// Makes a table of upstreams with the slots named, all free.
    slot_table(std::vector<std::uint32_t> const& slots,
               slot_table_settings const& settings);

    /// The pool as admission sees it; `free` counts what pick would give.
    slot_pool pool() const;

    /// The upstream that the next request goes to, or nothing.
    /// `expected_wait` is how long the request would wait for a fast slot,
    /// `time_left` what its deadline leaves.
    std::optional<std::uint32_t> pick(duration expected_wait,
                                      duration time_left, instant now) const;

    /// Records a slot as given.
    slot_grant const& grant(std::uint32_t upstream, std::uint32_t host,
                            config::work_length length, instant expires,
                            instant now);

    /// Numbers grants from this epoch on, unlike those of any other.
    void start_epoch(std::uint64_t epoch);

    /// Records a slot that a former owner gave; nothing if it is known.
    void adopt(slot_grant const& held, instant now);

    /// Takes a slot back; `service_time` is what the host measured between
    /// sending and answer, zero if there was no answer. False if the grant
    /// is not known (any more).
    bool release(std::uint64_t id, duration service_time, instant now);

    /// Prolongs all grants of a host that was heard from.
    void renew(std::uint32_t host, instant expires);

    /// Takes back every grant that expired; how many.
    std::uint32_t expire(instant now);

    /// Sets the slots that may be used: fewer on a slow return, none when
    /// the upstream leaves or is ejected.
    void set_usable(std::uint32_t upstream, std::uint32_t usable);

    /// Slots given of one upstream, requests sent ahead included.
    std::uint32_t granted(std::uint32_t upstream) const;

    /// Slots of upstreams that are not slow that stand empty.
    std::uint32_t free_slots() const;

    /// Requests sent ahead of a free slot, over all upstreams.
    std::uint32_t sent_in_advance() const;

    /// True if the upstream is treated as slow.
    bool is_slow(std::uint32_t upstream) const;

    /// Mean service time of brief work in the pool.
    duration mean_time() const
    {
        return this->brief_times.mean();
    }

private:
    struct upstream_slots
    {
        std::uint32_t slots = 1;
        std::uint32_t usable = 1;
        std::uint32_t granted = 0;
        std::uint32_t long_held = 0;
        /// Mean of the logarithm of (service time / pool's), of late.
        double log_ratio = 0;
        bool slow = false;
        instant last_probe;
    };

    std::optional<std::uint32_t> pick_fast() const;
    std::optional<std::uint32_t> pick_slow() const;
    bool should_use_slow(upstream_slots const& slow, bool fast_found,
                         duration expected_wait, duration time_left,
                         instant now) const;
    bool may_flag_slow() const;
    void record_load(instant now);
    void record_service_time(upstream_slots& upstream, duration service_time);
    void return_slot(slot_grant const& grant, instant now);

    slot_table_settings settings;
    std::vector<upstream_slots> upstreams;
    std::vector<slot_grant> grants;
    service_time_estimate brief_times;
    service_time_estimate long_times;
    std::uint64_t last_id = 0;
    std::uint32_t long_held = 0;
    double brief_average = 0;
    /// Mean of the logarithm of brief service times in ns.
    double pool_mean_log = 0;
    instant load_recorded_at;
};

} // namespace bilberrylead::policy

#endif
