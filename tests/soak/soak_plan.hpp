#ifndef BILBERRYLEAD_SOAK_SOAK_PLAN_HPP
#define BILBERRYLEAD_SOAK_SOAK_PLAN_HPP

#include "soak_settings.hpp"

#include "bilberrylead/policy/generator.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrylead::soak
{

/// Draws the steps of one soak, as lines of a scenario: a deployment, loads,
/// faults that overlap, and what must hold once the last one has ended. At
/// most one control host of three is out at a time, so that changes must be
/// accepted all the while.
class soak_plan
{
public:
    /// Draws the plan.
    explicit soak_plan(soak_settings const& settings);

    /// The steps, in order.
    std::vector<std::string> const& lines() const
    {
        return this->steps;
    }

    /// How often each kind of fault or planned change is played.
    std::map<std::string, std::uint32_t> const& faults() const
    {
        return this->played;
    }

private:
    /// A fault that has begun and what ends it.
    struct open_fault
    {
        std::string host;
        std::vector<std::string> ending;
    };

    using fault = void (soak_plan::*)();

    void lay_out();
    void begin_loads();
    void play_fault();
    void end_fault(std::size_t place);
    void end_all();
    void check();
    void check_order(std::string const& load);

    void kill_entry();
    void stop_entry();
    void freeze_entry();
    void cut_entry();
    void kill_control();
    void stop_control();
    void freeze_control();
    void cut_control();
    void lose_disk();
    void harm_upstreams();
    void change_configuration();
    void crash_by_request();
    void limit_upstreams();
    void overload_upstreams();

    void say(std::string line);
    void begin(std::string const& kind, std::string const& host,
               std::vector<std::string> const& beginning,
               std::vector<std::string> ending);
    void pause(std::uint32_t shortest_ms, std::uint32_t longest_ms);
    bool is_out(std::string const& host) const;
    std::string draw_entry();
    std::string draw_control();
    template <class Item>
    Item const& draw(std::vector<Item> const& items);

    soak_settings settings;
    policy::generator random;
    std::vector<std::string> entries;
    std::vector<std::string> controls;
    std::vector<std::string> steps;
    std::vector<open_fault> open;
    std::map<std::string, std::uint32_t> played;
};

} // namespace bilberrylead::soak

#endif
