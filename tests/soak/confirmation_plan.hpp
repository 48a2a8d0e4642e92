#ifndef BILBERRYLEAD_SOAK_CONFIRMATION_PLAN_HPP
#define BILBERRYLEAD_SOAK_CONFIRMATION_PLAN_HPP

#include "soak_settings.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrylead::soak
{

/// Draws a series of changes, each followed by a loss at the moment of its
/// confirmation, as lines of a scenario: control hosts in three regions that
/// are a delay apart, entry hosts, callers, and after each loss the check that
/// the change is in force, before anything is repaired.
class confirmation_plan
{
public:
    /// Draws the plan; a fault is one change with its loss.
    explicit confirmation_plan(soak_settings const& settings);

    /// The steps, in order.
    std::vector<std::string> const& lines() const
    {
        return this->steps;
    }

    /// How often each kind of loss is played.
    std::map<std::string, std::uint32_t> const& faults() const
    {
        return this->played;
    }

private:
    using loss = void (confirmation_plan::*)();

    void lay_out();
    void play_round();
    void check();

    void kill_leader();
    void wipe_leader();
    void freeze_leader();
    void cut_leader();
    void kill_leader_and_another();
    void kill_successor_too();
    void kill_all();
    void freeze_all();
    void freeze_all_but_one();
    void kill_leader_beside_frozen_entry();

    void say(std::string line);
    void begin(std::string const& kind);
    void expect_in_force(std::string const& at = {});
    void expect_voter(std::string const& name);
    std::uint32_t draw(std::size_t count);
    std::string list_of(std::vector<std::string> const& names,
                        std::string const& without = {}) const;

    soak_settings settings;
    policy::generator random;
    std::vector<std::string> entries;
    std::vector<std::string> controls;
    std::vector<std::string> steps;
    std::map<std::string, std::uint32_t> played;
};

} // namespace bilberrylead::soak

#endif
