#ifndef BILBERRYLEAD_ONCE_ONCE_RECORDS_HPP
#define BILBERRYLEAD_ONCE_ONCE_RECORDS_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/ids.hpp"
#include "bilberrylead/core/time.hpp"
#include "bilberrylead/once/abandoned_requests.hpp"
#include "bilberrylead/once/claim_key.hpp"
#include "bilberrylead/once/claim_record.hpp"
#include "bilberrylead/once/claim_verdict.hpp"
#include "bilberrylead/once/once_command.hpp"
#include "bilberrylead/once/once_settings.hpp"
#include "bilberrylead/once/registration.hpp"
#include "bilberrylead/once/settle_result.hpp"
#include "bilberrylead/once/spent_keys.hpp"
#include "bilberrylead/once/work_digest.hpp"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>

namespace bilberrylead::once
{

/// The replicated state machine that grants each piece of work to at most
/// one request and keeps its answer. Every replica applies the same commands
/// in log order and reaches the same state; uses no clock and no randomness.
/// Used by one thread.
class once_records
{
public:
    /// Starts empty with the given bounds.
    explicit once_records(once_settings const& bounds = {});

    once_records(once_records&&) = default;
    once_records& operator=(once_records&&) = default;
    once_records(once_records const&) = delete;
    once_records& operator=(once_records const&) = delete;
    ~once_records() = default;

    /// Decides whether the request may be forwarded.
    claim_verdict apply(claim const& command);
    /// Records the holder's answer.
    settle_result apply(complete const& command);
    /// Releases the claim of work that did not run.
    settle_result apply(release const& command);
    /// Records that the outcome of the work is unknown.
    settle_result apply(mark_unknown const& command);
    /// Makes an incarnation the valid one of its entry host; open claims of
    /// its previous incarnations become unknown.
    registration apply(register_entry_host const& command);
    /// Advances the log time and expires records. Returns the log time.
    duration apply(advance_time const& command);

    /// State of the work of this key; unknown for a spent key, nullopt if the
    /// key is neither recorded nor spent.
    std::optional<claim_state> state_of(claim_key const& key) const;
    /// Number of records, 0 to once_settings::max_records.
    std::size_t size() const;
    /// Number of keys whose answer is no longer kept, 0 to
    /// once_settings::max_spent_keys.
    std::size_t spent_size() const;
    /// Size of the recorded answers in bytes, 0 to
    /// once_settings::max_total_answer_bytes.
    std::size_t answer_bytes() const;
    /// Log time: the counted sum of all advance_time commands.
    duration log_time() const;

    /// Serializes the complete state; equal states give equal bytes.
    bytes encode() const;
    /// Restores a state from the output of encode(). Fails with `corrupt` if
    /// the bytes are not a valid snapshot, and with `bad_value` if the
    /// snapshot was built with other bounds.
    static absl::StatusOr<once_records>
    decode(once_settings const& bounds, std::span<std::uint8_t const> input);

private:
    using record_map = std::map<work_digest, claim_record>;
    using expiry_entry = std::pair<duration, work_digest const*>;
    /// Orders records that expire at the same time by their keys. Ordered by
    /// memory address, replicas would differ in which record takes the last
    /// free place among the spent keys.
    struct expires_before
    {
        bool operator()(expiry_entry const& left,
                        expiry_entry const& right) const
        {
            return left.first != right.first ? left.first < right.first
                                             : *left.second < *right.second;
        }
    };
    /// Has stable node addresses, because records point to its nodes.
    using caller_map = std::unordered_map<caller_id, std::size_t>;
    using host_map = std::map<host_id, std::uint64_t>;

    std::optional<claim_refusal> find_refusal(claim const& command) const;
    claim_verdict decide_existing(record_map::value_type& found,
                                  claim const& command);
    void abandon(work_digest const& request);
    claim_verdict refuse(claim_refusal reason) const;
    void insert(work_digest const& key, caller_id const& caller,
                host_id const& host, claim_record record);
    void erase(record_map::iterator found);
    void set_state(record_map::value_type& found, claim_state state,
                   duration lifetime);
    recorded_answer fit_answer(recorded_answer answer) const;
    void expire_due_records();
    void expire_record(record_map::iterator found);
    bool is_superseded(host_id const& host, std::uint64_t incarnation) const;
    absl::Status decode_hosts(std::uint64_t count,
                              std::span<std::uint8_t const>& input);
    absl::Status decode_spent_keys(std::uint64_t count,
                                   std::span<std::uint8_t const>& input);
    absl::Status decode_abandoned(std::uint64_t count,
                                  std::span<std::uint8_t const>& input);
    absl::Status decode_records(std::uint64_t count,
                                std::span<std::uint8_t const>& input);

    once_settings settings;
    record_map records;
    std::set<expiry_entry, expires_before> expiry_queue;
    host_map incarnations;
    caller_map record_count_by_caller;
    spent_keys spent;
    abandoned_requests abandoned;
    std::size_t held_answer_bytes = 0;
    duration now{};
};

} // namespace bilberrylead::once

#endif
