#include "scenario_steps.hpp"

#include "http_call.hpp"
#include "wait_until.hpp"

#include "bilberrylead/config/parse_configuration.hpp"

#include <fmt/format.h>

#include <signal.h>

#include <algorithm>
#include <stdexcept>
#include <thread>

namespace bilberrylead::scenario
{

namespace
{

using json = nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr unsigned not_run_status = 503;

bool compare(std::int64_t left, std::string const& how, std::int64_t right)
{
    if (how == "==")
    {
        return left == right;
    }
    if (how == ">=")
    {
        return left >= right;
    }
    if (how == "<=")
    {
        return left <= right;
    }
    throw std::runtime_error("compare with ==, >= or <=");
}

json last_line_as_json(std::string const& text)
{
    std::size_t const end = text.find_last_not_of('\n');
    if (end == std::string::npos)
    {
        return {};
    }
    std::size_t const start = text.find_last_of('\n', end);
    std::size_t const first = start == std::string::npos ? 0 : start + 1;
    return json::parse(text.substr(first, end + 1 - first), nullptr, false);
}

} // namespace

scenario_steps::scenario_steps(std::filesystem::path const& binaries)
    : world(binaries)
{
}

std::map<std::string, scenario_steps::step> const& scenario_steps::all_steps()
{
    static std::map<std::string, step> const steps = {
        {"zone", &scenario_steps::zone},
        {"control", &scenario_steps::control},
        {"entry", &scenario_steps::entry},
        {"service", &scenario_steps::service},
        {"upstreams", &scenario_steps::upstreams},
        {"start", &scenario_steps::start},
        {"found", &scenario_steps::found},
        {"apply", &scenario_steps::apply},
        {"submit", &scenario_steps::submit},
        {"ctl", &scenario_steps::ctl},
        {"in-force", &scenario_steps::in_force},
        {"watch", &scenario_steps::watch},
        {"load", &scenario_steps::load},
        {"finish", &scenario_steps::finish},
        {"kill", &scenario_steps::kill},
        {"stop", &scenario_steps::stop},
        {"ended", &scenario_steps::ended},
        {"freeze", &scenario_steps::freeze},
        {"thaw", &scenario_steps::thaw},
        {"delay", &scenario_steps::delay},
        {"lose-disk", &scenario_steps::lose_disk},
        {"cut", &scenario_steps::cut},
        {"cut-zone", &scenario_steps::cut_zone},
        {"heal", &scenario_steps::heal},
        {"set", &scenario_steps::set},
        {"leads", &scenario_steps::leads},
        {"refuses", &scenario_steps::refuses},
        {"follows", &scenario_steps::follows},
        {"leaderless", &scenario_steps::leaderless},
        {"wait-voter", &scenario_steps::wait_voter},
        {"wait-caught-up", &scenario_steps::wait_caught_up},
        {"change", &scenario_steps::change},
        {"post", &scenario_steps::post_entry},
        {"idle", &scenario_steps::idle},
        {"arrived", &scenario_steps::arrived},
        {"pause", &scenario_steps::pause},
        {"expect", &scenario_steps::expect},
        {"call", &scenario_steps::call_entry},
        {"report", &scenario_steps::report},
        {"settings", &scenario_steps::settings},
        {"upstream-list", &scenario_steps::upstream_list},
        {"route", &scenario_steps::route},
        {"customer", &scenario_steps::customer},
        {"plan", &scenario_steps::plan},
        {"new-plan", &scenario_steps::new_plan},
        {"refusals-show", &scenario_steps::refusals_show},
        {"always-planned", &scenario_steps::always_planned},
        {"counted", &scenario_steps::counted},
        {"refused", &scenario_steps::refused},
    };
    return steps;
}

void scenario_steps::run(scenario_line const& line)
{
    std::map<std::string, step>::const_iterator const found =
        all_steps().find(line.word(0));
    this->need(found != all_steps().end(), "there is no such step");
    (this->*found->second)(line);
}

std::filesystem::path const& scenario_steps::folder() const
{
    return this->world.folder();
}

// zone ZONE in REGION
void scenario_steps::zone(scenario_line const& line)
{
    this->world.add_zone(line.word(1), line.after("in"));
}

// control NAME in ZONE
void scenario_steps::control(scenario_line const& line)
{
    this->world.add_control(line.word(1), line.after("in"));
}

// entry NAME in ZONE
void scenario_steps::entry(scenario_line const& line)
{
    this->world.add_entry(line.word(1), line.after("in"));
}

// service NAME lookups|grants|downloads
void scenario_steps::service(scenario_line const& line)
{
    this->world.add_service(line.word(1), line.word(2));
}

// upstreams SERVICE COUNT in ZONE [BEHAVIOUR as JSON]
void scenario_steps::upstreams(scenario_line const& line)
{
    std::string const behaviour =
        line.words.size() > 5 ? line.rest(5) : std::string("{}");
    this->world.add_upstreams(line.word(1), line.count(2), line.word(4),
                              behaviour);
}

// start all | start NAME...
void scenario_steps::start(scenario_line const& line)
{
    if (line.word(1) == "all")
    {
        this->world.start_all();
        return;
    }
    for (std::string const& name : this->hosts_of(line))
    {
        this->world.start(name);
    }
}

// in-force [REVISION] [within MILLISECONDS] [at ENTRY...]: waits for the newest
// revision
void scenario_steps::in_force(scenario_line const& line)
{
    std::vector<std::string> entries = this->world.entry_names();
    std::vector<std::string>::const_iterator const at =
        std::find(line.words.begin(), line.words.end(), "at");
    if (at != line.words.end())
    {
        entries.assign(at + 1, line.words.end());
    }
    bool const names_one = line.words.size() > 1 && line.word(1) != "at" &&
                           line.word(1) != "within";
    std::chrono::milliseconds const waited = this->wait_in_force(
        names_one ? line.count(1) : this->last_revision, entries);
    std::optional<std::uint32_t> const bound = line.count_after("within");
    this->need(!bound.has_value() || waited.count() <= *bound,
               fmt::format("in force {} ms later", waited.count()));
}

// watch SERVICE: samples the revisions in force from here on
void scenario_steps::watch(scenario_line const& line)
{
    std::map<std::string, std::uint16_t> ports;
    for (std::string const& name : this->world.entry_names())
    {
        ports[name] = this->world.caller_port(name);
    }
    this->revisions = std::make_unique<revision_watch>(ports, line.word(1));
}

// load NAME SERVICE rate R for SECONDS [depth D] [path P] [key K]: with
// depth, callers send up to D requests on a connection before the first is
// answered; P follows the service in the path, K is their customer's key
void scenario_steps::load(scenario_line const& line)
{
    load_options options;
    options.rate = line.count(4);
    options.length = std::chrono::seconds(line.count(6));
    options.depth = line.count_after("depth").value_or(options.depth);
    options.path = line.after("path");
    options.customer_key = line.after("key");
    this->world.start_load(line.word(1), line.word(2), options);
}

// finish NAME: waits for a load's end
void scenario_steps::finish(scenario_line const& line)
{
    std::string const text = this->world.finish_load(line.word(1));
    json const report = last_line_as_json(text);
    this->need(report.is_object(), "the load gave no report: " + text);
    fmt::print("    {}\n", report.dump());
    this->reports[line.word(1)] = report;
}

// pause MILLISECONDS: lets a fault last
void scenario_steps::pause(scenario_line const& line)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(line.count(1)));
}

// call ENTRY TARGET expect STATUS|any: one request of a caller
void scenario_steps::call_entry(scenario_line const& line)
{
    call_result const answer =
        call(this->world.caller_port(line.word(1)), "GET", line.word(2));
    std::string const wanted = line.after("expect");
    this->need(wanted == "any" || fmt::to_string(answer.status) == wanted,
               fmt::format("status {}: {}", answer.status, answer.body));
}

/// What an upstream has counted since its start.
json scenario_steps::counts_of(std::string const& upstream)
{
    std::size_t const dash = upstream.rfind('-');
    std::uint16_t const admin =
        this->world.admin_port(upstream.substr(0, dash));
    std::string const target = fmt::format("/stand-in/requests?port={}",
                                           this->world.upstream_port(upstream));
    json const counts =
        json::parse(call(admin, "GET", target).body, nullptr, false);
    this->need(counts.is_object() && counts.contains("started"),
               "no such count: " + counts.dump());
    return counts;
}

// idle UPSTREAM: from here on it gets no new work, seen over a second
void scenario_steps::idle(scenario_line const& line)
{
    json const before = this->counts_of(line.word(1));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    json const after = this->counts_of(line.word(1));
    this->need(before.at("started") == after.at("started"),
               fmt::format("it got new work: {} then {}",
                           before.at("started").dump(),
                           after.at("started").dump()));
}

// arrived UPSTREAM ==|>=|<= N: requests since its start
void scenario_steps::arrived(scenario_line const& line)
{
    std::int64_t const count =
        this->counts_of(line.word(1)).at("arrived").get<std::int64_t>();
    this->need(compare(count, line.word(2), line.count(3)),
               fmt::format("it got {}", count));
}

// post ENTRY TARGET key KEY expect STATUS: a caller's guarded request, sent
// again while it hears that it was not run and another answer is wanted
void scenario_steps::post_entry(scenario_line const& line)
{
    std::string const wanted = line.after("expect");
    call_result answer;
    wait_until(
        [this, &line, &wanted, &answer]()
        {
            answer = call(this->world.caller_port(line.word(1)), "POST",
                          line.word(2), "a posting",
                          {{"Idempotency-Key", line.after("key")},
                           {"Bilberry-Caller", "scenario"}});
            return fmt::to_string(answer.status) == wanted ||
                   answer.status != not_run_status;
        });
    this->need(fmt::to_string(answer.status) == wanted,
               fmt::format("status {}: {}", answer.status, answer.body));
}

// expect LOAD.FIELD ==|>=|<= N | expect no-decrease
void scenario_steps::expect(scenario_line const& line)
{
    if (line.word(1) == "no-decrease")
    {
        this->need(this->revisions != nullptr, "nothing was watched");
        this->need(this->revisions->samples() > 0, "nothing was sampled");
        std::vector<std::string> const wrong = this->revisions->decreases();
        this->need(wrong.empty(),
                   wrong.empty() ? "" : "a revision went back at " + wrong[0]);
        return;
    }
    std::string const& what = line.word(1);
    std::size_t const dot = what.find('.');
    std::map<std::string, json>::const_iterator const found =
        this->reports.find(what.substr(0, dot));
    this->need(found != this->reports.end(), "no such load has finished");
    std::string const field = what.substr(dot + 1);
    this->need(found->second.contains(field), "the report has no such field");
    std::int64_t const value = found->second.at(field).get<std::int64_t>();
    this->need(compare(value, line.word(2), line.count(3)),
               fmt::format("it is {}", value));
}

// report: one line of JSON over all loads
void scenario_steps::report(scenario_line const&)
{
    json sum = {{"requests", 0},
                {"whole", 0},
                {"lost", 0},
                {"run_twice", 0},
                {"not_run_but_ran", 0}};
    for (std::map<std::string, json>::value_type const& row : this->reports)
    {
        for (json::iterator field = sum.begin(); field != sum.end(); ++field)
        {
            field.value() = field.value().get<std::uint64_t>() +
                            row.second.value(field.key(), std::uint64_t{0});
        }
    }
    sum["revision_in_force"] = this->last_revision;
    sum["entry_hosts"] = this->world.entry_names().size();
    sum["control_hosts"] = this->world.control_names().size();
    fmt::print("{}\n", sum.dump());
}

std::string scenario_steps::host_of(std::string const& word)
{
    if (word == "leader")
    {
        std::string name;
        this->need(wait_until(
                       [this, &name]()
                       {
                           name = this->world.leader();
                           return !name.empty();
                       }),
                   "nobody leads");
        return name;
    }
    std::map<std::string, std::string>::const_iterator const found =
        this->remembered.find(word);
    return found == this->remembered.end() ? word : found->second;
}

void scenario_steps::need(bool condition, std::string const& otherwise) const
{
    if (!condition)
    {
        throw std::runtime_error(otherwise);
    }
}

std::chrono::milliseconds
scenario_steps::wait_in_force(std::uint64_t revision,
                              std::vector<std::string> const& entries)
{
    clock::time_point const start = clock::now();
    for (std::string const& name : entries)
    {
        std::uint16_t const port = this->world.caller_port(name);
        std::string const service =
            this->world.declared().services.front().id.text();
        bool const there = wait_until(
            [port, revision, &service]()
            {
                call_result const answer =
                    call(port, "GET", "/steering?service=" + service);
                json const body = json::parse(answer.body, nullptr, false);
                return body.is_object() &&
                       body.value("revision", std::uint64_t{0}) >= revision;
            });
        this->need(there, fmt::format("revision {} is not in force at {}",
                                      revision, name));
    }
    std::chrono::milliseconds const waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                              start);
    fmt::print("    revision {} in force after {} ms\n", revision,
               waited.count());
    return waited;
}

} // namespace bilberrylead::scenario
