#ifndef BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_STEPS_HPP
#define BILBERRYLEAD_SCENARIO_RUNNER_SCENARIO_STEPS_HPP

#include "deployment.hpp"
#include "revision_watch.hpp"
#include "scenario_line.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bilberrylead::scenario
{

/// Carries out a scenario's steps on a deployment. A step that can't be
/// carried out, or an expectation that is not met, throws with the reason.
class scenario_steps
{
public:
    /// Makes the steps over the programs in `binaries`.
    explicit scenario_steps(std::filesystem::path const& binaries);

    /// Carries out one step.
    void run(scenario_line const& line);

    /// Where logs and reports are.
    std::filesystem::path const& folder() const;

private:
    using step = void (scenario_steps::*)(scenario_line const&);
    static std::map<std::string, step> const& all_steps();

    void zone(scenario_line const& line);
    void control(scenario_line const& line);
    void entry(scenario_line const& line);
    void service(scenario_line const& line);
    void upstreams(scenario_line const& line);
    void start(scenario_line const& line);
    void found(scenario_line const& line);
    void apply(scenario_line const& line);
    void submit(scenario_line const& line);
    void ctl(scenario_line const& line);
    void in_force(scenario_line const& line);
    void watch(scenario_line const& line);
    void load(scenario_line const& line);
    void finish(scenario_line const& line);
    /// Control hosts but the given one.
    std::vector<std::string> other_controls(std::string const& name) const;
    std::vector<std::string> hosts_of(scenario_line const& line);
    void kill(scenario_line const& line);
    void stop(scenario_line const& line);
    void ended(scenario_line const& line);
    void freeze(scenario_line const& line);
    void thaw(scenario_line const& line);
    void delay(scenario_line const& line);
    void lose_disk(scenario_line const& line);
    void cut(scenario_line const& line);
    void cut_zone(scenario_line const& line);
    void heal(scenario_line const& line);
    void set(scenario_line const& line);
    void leads(scenario_line const& line);
    void pause(scenario_line const& line);
    void expect(scenario_line const& line);
    void refuses(scenario_line const& line);
    void follows(scenario_line const& line);
    void leaderless(scenario_line const& line);
    void wait_voter(scenario_line const& line);
    void wait_caught_up(scenario_line const& line);
    void change(scenario_line const& line);
    void idle(scenario_line const& line);
    void arrived(scenario_line const& line);
    void post_entry(scenario_line const& line);
    void call_entry(scenario_line const& line);
    void report(scenario_line const& line);
    void settings(scenario_line const& line);
    void upstream_list(scenario_line const& line);
    void route(scenario_line const& line);
    void customer(scenario_line const& line);
    void plan(scenario_line const& line);
    void new_plan(scenario_line const& line);
    void refusals_show(scenario_line const& line);
    void always_planned(scenario_line const& line);
    void counted(scenario_line const& line);
    void refused(scenario_line const& line);

    /// What bilberryctl shows of a service's admission plan; an empty object
    /// if nobody answers.
    nlohmann::json plan_of(std::string const& service);
    nlohmann::json counts_of(std::string const& upstream);
    void declare_leaving(std::string const& name, bool leaving);
    std::string host_of(std::string const& word);
    /// A control host's own status; an empty object if it gives none.
    nlohmann::json status_of(std::string const& control);
    /// Waits until a control host's status fulfils the condition.
    template <class Condition>
    void wait_for_status(std::string const& control, Condition condition,
                         std::string const& otherwise);
    void need(bool condition, std::string const& otherwise) const;
    std::string apply_once(std::vector<std::string> arguments);
    std::chrono::milliseconds
    wait_in_force(std::uint64_t revision,
                  std::vector<std::string> const& entries);

    deployment world;
    std::map<std::string, nlohmann::json> reports;
    std::map<std::string, std::string> remembered;
    std::unique_ptr<revision_watch> revisions;
    std::uint64_t last_revision = 0;
    std::uint64_t changes = 0;
    std::uint64_t planned_in_term = 0;
};

} // namespace bilberrylead::scenario

#endif
