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

/// Sees what all hosts of a group do, and keeps the first breach of what
/// must hold in every schedule.
class group_checker
{
public:
    /// A host leads; in one term only one may.
    void record_leader(host_id const& host, std::uint64_t term);

    /// A host applies an entry as its `position`-th; everybody applies the
    /// same one there.
    void record_apply(host_id const& host, std::uint64_t position,
                      log_entry const& entry);

    /// A host takes a snapshot in; it stands for what was applied.
    void record_restore(host_id const& host, snapshot const& restored);

    /// What the state machine holds after so many entries.
    bytes state_at(std::uint64_t index) const;

    /// A proposal's asker heard "accepted".
    void record_accepted(std::uint64_t index);

    /// A read came in; it must see all that was told to anybody before.
    void record_read_request(std::uint64_t token);

    /// A read was answered from a state that includes `index`.
    void record_read_answer(host_id const& host, std::uint64_t token,
                            std::uint64_t index);

    /// Highest index that anybody applied.
    std::uint64_t committed() const;

    /// Keeps a breach, if it is the first.
    void fail(std::string const& message);

    /// The first breach.
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
