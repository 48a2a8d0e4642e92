#ifndef BILBERRYLEAD_LOAD_LOAD_RUN_HPP
#define BILBERRYLEAD_LOAD_LOAD_RUN_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/load/load_profile.hpp"
#include "bilberrylead/load/load_tally.hpp"
#include "bilberrylead/load/run_counts.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrylead::load
{

/// What one run of callers is given besides its profile.
struct load_run_settings
{
    /// Entry hosts that are asked for steering, one after the other until
    /// one answers.
    std::vector<config::endpoint> steering;
    /// Upstreams that are sent requests directly, without steering: the
    /// reference of a measurement. Empty uses steering.
    std::vector<config::endpoint> direct;
    /// Stand-ins (their admin or own ports) whose run counts are collected.
    std::vector<config::endpoint> stand_ins;
    /// Leads every request id and key, so that two runs against the same
    /// system do not meet.
    std::string tag;
};

/// What one run brought.
struct load_run_result
{
    /// Counts of what callers saw.
    load_tally tally;
    /// What the stand-ins ran.
    run_counts runs;
    /// Stand-ins that did not answer for their run counts.
    std::uint32_t stand_ins_missing = 0;
    /// How far behind its plan the sender was at worst: latencies below
    /// this say nothing about the system.
    duration worst_delay{};
    /// From the first request to the last answer.
    duration elapsed{};
};

/// Plays a profile: open loop, every request starts when the plan says,
/// whatever became of the others. Blocks until the last one has ended.
load_run_result run_load(load_profile const& profile,
                         load_run_settings const& settings);

} // namespace bilberrylead::load

#endif
