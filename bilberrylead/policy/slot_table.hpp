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

/// The slots of a zone's upstreams of one service, and their holders.
///
/// Serves many entry hosts in front of upstreams with three slots each. Entry
/// hosts that choose by their own counts fill the queue of a busy upstream
/// while slots of another one are idle, and cannot detect it. One table in
/// which every slot is acquired and released has the exact state. Slots of a
/// slow upstream are used last, when the wait for a fast one would be longer.
/// Memory is allocated at construction.
class slot_table
{
public:
    /// Creates a table of upstreams with these numbers of slots, all free.
    slot_table(std::vector<std::uint32_t> const& slots,
               slot_table_settings const& settings);

    /// The pool as input to admission; `free` counts the slots of upstreams
    /// that are not slow, and the requests that may be sent in advance.
    slot_pool pool() const;

    /// The upstream that the next request goes to, or nothing.
    /// `expected_wait` is how long the request would wait for a fast slot,
    /// `time_left` the time until its deadline.
    std::optional<std::uint32_t> pick(duration expected_wait,
                                      duration time_left, instant now) const;

    /// Records a granted slot.
    slot_grant const& grant(std::uint32_t upstream, std::uint32_t host,
                            config::work_length length, instant expires,
                            instant now);

    /// Starts the grant ids of this epoch; they differ from those of any
    /// other epoch.
    void start_epoch(std::uint64_t epoch);

    /// Records a grant of the previous owner; no effect if the table already
    /// contains it.
    void adopt(slot_grant const& held, instant now);

    /// Releases a slot. `service_time` is the time that the host measured
    /// between sending and answer, zero without an answer. False if the table
    /// does not contain the grant (any more).
    bool release(std::uint64_t id, duration service_time, instant now);

    /// Extends all grants of a host, after a message from it.
    void renew(std::uint32_t host, instant expires);

    /// Releases every expired grant; returns their number.
    std::uint32_t expire(instant now);

    /// Sets the number of usable slots: fewer while the upstream recovers
    /// gradually, none when it leaves or is ejected.
    void set_usable(std::uint32_t upstream, std::uint32_t usable);

    /// Granted slots of one upstream, including requests sent in advance.
    std::uint32_t granted(std::uint32_t upstream) const;

    /// Free slots of the upstreams that are not slow.
    std::uint32_t free_slots() const;

    /// Requests sent in advance of a free slot, over all upstreams.
    std::uint32_t sent_in_advance() const;

    /// True if the upstream is flagged as slow.
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
        /// Moving mean of log(service time / service time of the pool).
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
    /// Moving mean of the logarithm of brief service times in ns.
    double pool_mean_log = 0;
    instant load_recorded_at;
};

} // namespace bilberrylead::policy

#endif
