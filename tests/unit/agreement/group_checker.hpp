#ifndef BILBERRYLEAD_TESTS_AGREEMENT_GROUP_CHECKER_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_GROUP_CHECKER_HPP

#include "bilberrylead/agreement/log_entry.hpp"
#include "bilberrylead/agreement/snapshot.hpp"
#include "bilberrylead/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// Observes all hosts of a group and keeps the first violation of an invariant
/// that must hold in every schedule.
class group_checker
{
public:
    /// Records that a host leads; a term may have only one leader.
    void record_leader(host_id const& host, std::uint64_t term);

    /// Records that a host applies an entry as its `position`-th; all hosts
    /// must apply the same entry there.
    void record_apply(host_id const& host, std::uint64_t position,
                      log_entry const& entry);

    /// Records that a host restores a snapshot; it must equal the state after
    /// the applied entries.
    void record_restore(host_id const& host, snapshot const& restored);

    /// The state machine's state after the entry at `index`.
    bytes state_at(std::uint64_t index) const;

    /// Records that a proposal was reported as accepted.
    void record_accepted(std::uint64_t index);

    /// Records a read request; the read must include everything that was
    /// reported to any client before.
    void record_read_request(std::uint64_t token);

    /// Records that a read was answered from a state that includes `index`.
    void record_read_answer(host_id const& host, std::uint64_t token,
                            std::uint64_t index);

    /// Highest index that any host has applied.
    std::uint64_t committed() const;

    /// Keeps the violation, if it is the first.
    void fail(std::string const& message);

    /// The first violation.
    std::optional<std::string> violation;

private:
    struct applied_row
    {
        log_entry entry;
        std::uint64_t digest = 0;
    };

    std::map<std::uint64_t, host_id> leaders;
    std::vector<applied_row> log;
    std::map<std::uint64_t, std::uint64_t> min_read_index;
    std::uint64_t max_reported_index = 0;
};

} // namespace bilberrylead::agreement::tests

#endif
