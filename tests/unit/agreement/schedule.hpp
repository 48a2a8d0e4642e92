#ifndef BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_HPP
#define BILBERRYLEAD_TESTS_AGREEMENT_SCHEDULE_HPP

#include "bilberrylead/agreement/safeguards.hpp"
#include "schedule_profile.hpp"
#include "test_group.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bilberrylead::agreement::tests
{

/// One random run of a small group: reordered, lost and duplicated messages,
/// slow disks, crashes between write and sync, lost disks, partitions,
/// suspended processes, differing clock rates and membership changes. The run
/// is determined by its seed.
class schedule
{
public:
    /// Derives the group from the seed. `wait_after_pause` is the replicas'
    /// setting of that name.
    schedule(std::uint64_t seed, safeguards const& enabled,
             bool wait_after_pause = false);

    /// Performs `steps` random steps, then ends all faults and expects the
    /// group to accept proposals again. Returns the first violation.
    std::optional<std::string> run(std::size_t steps);

    /// Describes the state of the group, for comparison.
    std::string describe() const;

private:
    void step();
    void run_without_faults();
    void carry_out_or_crash(std::size_t host_index);
    void deliver_messages();
    void deliver_one();
    void carry_out_some();
    void advance_time();
    void send_requests();
    void crash_or_start();
    void change_partitions();
    void freeze_or_thaw();
    void change_members();
    void recover();
    bool accepts_proposals_again();
    bool may_lose_disk(std::size_t host_index) const;
    bool has_unsettled_disk() const;
    bool all_caught_up() const;
    bool has_violation() const;

    std::size_t draw(std::size_t below);
    bool chance(std::size_t percent);
    std::size_t any_host();
    std::size_t leader_or_other();
    std::optional<std::size_t> any_leader();

    std::mt19937_64 random;
    schedule_profile const& profile;
    std::optional<std::size_t> slow_receiver;
    test_group group;
};

} // namespace bilberrylead::agreement::tests

#endif
