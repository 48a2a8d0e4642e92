#include "review/stand_ins_2/deployment.hpp"

#include "tests/unit/platform/settings_template.hpp"

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

namespace bilberrylead::review
{

namespace
{

using nlohmann::json;

constexpr std::size_t core_count = 3;
constexpr char const* zones[] = {"one-a", "one-b", "one-c"};
constexpr char const* region = "one";
constexpr std::uint16_t first_port = 20000;
constexpr std::uint16_t last_port = 30000;
constexpr std::uint16_t port_step = 16;

// Ports of each machine, counted from the base port.
constexpr std::uint16_t front_port = 0;
constexpr std::uint16_t ready_port = 1;
constexpr std::uint16_t control_port = 2;
constexpr std::uint16_t directory_port = 3;
constexpr std::uint16_t internal_port = 4;
constexpr std::uint16_t internal_ports = 8;
constexpr std::uint16_t stand_in_port = 12;

std::string read_text(std::string const& path)
{
    std::ifstream const file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

char const* const route_host = "songs.example";

deployment::deployment(record& lines, deployment_plan const& plan)
    : lines(lines), plan(plan)
{
    std::signal(SIGPIPE, SIG_IGN);
    this->root = std::filesystem::current_path().string();
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
    {
        this->give_up("no temporary folder");
    }
    this->folder = pattern;
    for (std::size_t place = 0; place < core_count; ++place)
    {
        machine core;
        core.name = "core-" + std::to_string(place + 1);
        core.zone = zones[place % std::size(zones)];
        this->core_machines.push_back(core);
    }
    for (std::size_t place = 0; place < plan.edges; ++place)
    {
        machine edge;
        edge.name = "edge-" + std::to_string(place + 1);
        edge.zone = zones[place % std::size(zones)];
        edge.is_edge = true;
        this->edge_machines.push_back(edge);
    }
    this->choose_addresses();
    this->list_address = this->next_address();
    this->list_port = std::make_unique<listener>(this->list_address,
                                                 [this](connection& from)
                                                 {
                                                     this->serve_list(from);
                                                 });
}

deployment::~deployment()
{
    this->stop_all();
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr)
    {
        std::filesystem::remove_all(this->folder, ignored);
    }
}

/// A loopback network of its own, and ports that nothing holds there.
void deployment::choose_addresses()
{
    auto const own = static_cast<unsigned>(::getpid());
    this->network = "127." + std::to_string(20 + own % 200) + "." +
                    std::to_string(1 + own / 200 % 250) + ".";
    unsigned host = 1;
    for (std::vector<machine>* const some :
         {&this->core_machines, &this->edge_machines})
    {
        for (machine& each : *some)
        {
            each.ip = this->network + std::to_string(host++);
        }
    }
    for (std::uint16_t base = first_port; base < last_port; base += port_step)
    {
        bool free = true;
        for (std::uint16_t offset = 0; offset < port_step; ++offset)
        {
            free = free && is_free({this->core_machines.front().ip,
                                    static_cast<std::uint16_t>(base + offset)});
        }
        if (free)
        {
            this->base_port = base;
            return;
        }
    }
    this->give_up("no free ports");
}

address deployment::next_address()
{
    return {this->network + std::to_string(this->next_host++),
            static_cast<std::uint16_t>(this->base_port + stand_in_port)};
}

void deployment::give_up(std::string const& why)
{
    this->lines.line("the case cannot run: " + why);
    this->stop_all();
    std::_Exit(2);
}

backend& deployment::add_backend(std::string const& id,
                                 std::string const& service, milliseconds work)
{
    this->backends.push_back(std::make_unique<backend>(
        id, service, this->next_address(), work, this->lines));
    return *this->backends.back();
}

void deployment::set_list(list_function wanted)
{
    std::lock_guard const hold(this->list_mutex);
    this->listed = std::move(wanted);
}

std::string deployment::row(backend const& of, std::string const& state)
{
    return json::array({of.service(), of.where().text(), zones[0], "v1", 3,
                        state, 0, of.id()})
        .dump();
}

std::string deployment::list(std::vector<std::string> const& rows)
{
    std::string text =
        R"({"instances":{"columns":["service","address","zone","version",)"
        R"("slots","state","cold_remaining_s","id"],"rows":[)";
    for (std::size_t place = 0; place < rows.size(); ++place)
    {
        text += (place == 0 ? "" : ",") + rows[place];
    }
    return text + R"(]},"next_token":null})";
}

void deployment::serve_list(connection& from)
{
    http_message request;
    while (from.read(request, clock::now() + std::chrono::seconds(30)) ==
           read_end::whole)
    {
        list_function listed_now;
        {
            std::lock_guard const hold(this->list_mutex);
            listed_now = this->listed;
        }
        // All backends are in the first zone.
        std::string const target = request.target();
        std::size_t const named = target.find("zone=");
        std::string const zone =
            named == std::string::npos
                ? std::string()
                : target.substr(named + 5,
                                target.find('&', named) - (named + 5));
        bool const is_asked_for = zone.empty() || zone == zones[0];
        from.send(
            to_text("HTTP/1.1 200 OK", {{"Content-Type", "application/json"}},
                    is_asked_for && listed_now ? listed_now() : list({})));
    }
}

std::string deployment::settings_of(machine const& of, bool is_first) const
{
    auto const at = [this, &of](std::uint16_t offset)
    {
        return address{of.ip,
                       static_cast<std::uint16_t>(this->base_port + offset)}
            .text();
    };
    json fields;
    fields["node_name"] = of.name;
    fields["ip"] = of.ip;
    fields["zone"] = of.zone;
    fields["region"] = region;
    fields["bootstrap"] = is_first;
    fields["data_dir"] = this->folder + "/" + of.name;
    fields["internal_ports"] = {this->base_port + internal_port,
                                this->base_port + internal_port +
                                    internal_ports - 1};
    fields["seeds"] = json::array();
    for (machine const& core : this->core_machines)
    {
        fields["seeds"].push_back(address{
            core.ip, static_cast<std::uint16_t>(this->base_port + control_port)}
                                      .text());
    }
    for (char const* zone : zones)
    {
        fields["zones"][zone] = region;
    }
    if (of.is_edge)
    {
        fields["listen"] = {{"front", at(front_port)},
                            {"readiness", at(ready_port)}};
    }
    else
    {
        fields["listen"] = {{"control", at(control_port)},
                            {"directory", at(directory_port)}};
    }
    fields["limits"] = {{"memory_mb", 260}, {"max_fds", 4100}};
    fields["limits"]["link_mbps"] = 1000;
    fields["cloud"] = {{"address", this->list_address.text()},
                       {"rate_per_s", 44},
                       {"discovery_lag_s", 0.8}};
    fields["fault_tolerance"] = {{"machines", 1}, {"zones", 1}, {"regions", 0}};
    fields["bounds"] = {{"drain_timeout_s", 3},
                        {"grace_period_s", 6},
                        {"retry_budget_ratio", 0.2},
                        {"retry_budget_slack", 56},
                        {"cold_rate_factor", 1.5},
                        {"cold_slack", 5},
                        {"ttl_max_s", 5},
                        {"config_apply_s", 2.5}};
    char const* const file =
        of.is_edge ? "deploy/entry.settings" : "deploy/control.settings";
    return tests::render_template(read_text(this->root + "/" + file), fields);
}

void deployment::start_process(machine& of, bool is_first)
{
    std::string const settings = this->folder + "/" + of.name + ".settings";
    std::ofstream(settings) << this->settings_of(of, is_first);
    std::string const log = this->folder + "/" + of.name + ".log";
    std::string const program =
        this->root + (of.is_edge ? "/target/bin/bilberry-platform-entry"
                                 : "/target/bin/bilberry-platform-control");
    of.ending.clear();
    of.process = ::fork();
    if (of.process == 0)
    {
        int const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                  S_IRUSR | S_IWUSR);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // The stand-ins' sockets are all opened with close-on-exec.
        ::execl(program.c_str(), program.c_str(), settings.c_str(), nullptr);
        std::_Exit(127);
    }
    this->lines.line("process " + of.name + " starts");
}

void deployment::restart(machine& of)
{
    this->start_process(of, false);
}

void deployment::send_signal(machine const& to, int signal) const
{
    if (to.process > 0)
    {
        ::kill(to.process, signal);
    }
}

bool deployment::check_processes()
{
    bool any = false;
    for (std::vector<machine>* const some :
         {&this->core_machines, &this->edge_machines})
    {
        for (machine& each : *some)
        {
            int status = 0;
            if (each.process > 0 &&
                ::waitpid(each.process, &status, WNOHANG) == each.process)
            {
                each.process = 0;
                each.ending =
                    WIFSIGNALED(status)
                        ? "signal " + std::to_string(WTERMSIG(status))
                        : "exit code " + std::to_string(WEXITSTATUS(status));
                this->lines.line("process " + each.name +
                                 " ended: " + each.ending);
            }
            any = any || !each.ending.empty();
        }
    }
    return any;
}

void deployment::stop_all()
{
    for (std::vector<machine>* const some :
         {&this->core_machines, &this->edge_machines})
    {
        for (machine& each : *some)
        {
            if (each.process > 0)
            {
                ::kill(each.process, SIGCONT);
                ::kill(each.process, SIGKILL);
                ::waitpid(each.process, nullptr, 0);
                each.process = 0;
            }
        }
    }
}

address deployment::front(machine const& of) const
{
    return {of.ip, static_cast<std::uint16_t>(this->base_port + front_port)};
}

bool deployment::is_ready(machine const& of) const
{
    std::optional<http_message> const answer =
        call({of.ip, static_cast<std::uint16_t>(this->base_port + ready_port)},
             "GET", "/api/ready", "", milliseconds(500));
    return answer.has_value() && answer->status() == 200;
}

std::optional<http_message> deployment::call_core(std::size_t tries,
                                                  std::string const& method,
                                                  std::string const& target,
                                                  std::string const& body)
{
    // A second without a response, more for large bodies.
    milliseconds const longest(1000 + body.size() / 1000);
    machine const& core =
        this->core_machines[tries % this->core_machines.size()];
    address to{core.ip,
               static_cast<std::uint16_t>(this->base_port + control_port)};
    std::optional<http_message> answer =
        call(to, method, target, body, longest);
    for (int hop = 0; hop < 2 && answer.has_value() && answer->status() == 307;
         ++hop)
    {
        std::string const location = answer->header("location");
        std::size_t const host = location.find("//") + 2;
        to = address::parse(
            location.substr(host, location.find('/', host) - host));
        answer = call(to, method, target, body, longest);
    }
    return answer;
}

unsigned deployment::order(std::string const& target, std::string const& body,
                           milliseconds longest)
{
    clock::time_point const until = clock::now() + longest;
    for (std::size_t tries = 0; clock::now() < until; ++tries)
    {
        std::optional<http_message> const answer =
            this->call_core(tries, "POST", target, body);
        unsigned const status = answer.has_value() ? answer->status() : 0;
        if (status != 200)
        {
            this->lines.line("operator " + target + " -> " +
                             std::to_string(status));
        }
        if (status == 200 ||
            (status >= 400 && status < 500 && status != 408 && status != 429))
        {
            return status;
        }
        std::this_thread::sleep_for(milliseconds(200));
    }
    return 0;
}

void deployment::start(std::string const& configuration)
{
    for (machine& each : this->core_machines)
    {
        this->start_process(each, true);
    }
    for (machine& each : this->edge_machines)
    {
        this->start_process(each, true);
    }
    std::this_thread::sleep_for(milliseconds(1500));
    if (this->order("/api/config/put", configuration,
                    std::chrono::seconds(15)) != 200)
    {
        this->give_up("the configuration was not accepted");
    }
    clock::time_point const until = clock::now() + std::chrono::seconds(15);
    for (machine const& each : this->edge_machines)
    {
        while (!this->is_ready(each))
        {
            if (clock::now() > until)
            {
                this->give_up(each.name + " is not ready");
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    if (this->check_processes())
    {
        this->give_up("a process ended during the start");
    }
    this->lines.line("all edge machines are ready");
}

std::string configuration_of(std::string const& version,
                             std::size_t max_header_bytes,
                             std::vector<std::string> const& rules,
                             std::vector<std::string> const& services)
{
    json whole;
    whole["version"] = version;
    whole["limits"] = {{"max_header_bytes", max_header_bytes},
                       {"max_body_bytes", 67108864},
                       {"header_timeout_s", 3},
                       {"idle_timeout_s", 15}};
    json listener{{"host", route_host}, {"rules", json::array()}};
    for (std::string const& rule : rules)
    {
        listener["rules"].push_back(json::parse(rule));
    }
    whole["listeners"] = json::array({listener});
    whole["clusters"] = json::array();
    for (std::string const& service : services)
    {
        whole["clusters"].push_back({{"name", service},
                                     {"health_path", "/health"},
                                     {"max_connections", 330},
                                     {"protocol", "h1"},
                                     {"tls", false},
                                     {"cold_start_s", 3.0},
                                     {"cold_per_s", 9.4}});
    }
    return whole.dump();
}

std::string rule_of(std::string const& prefix, std::string const& kind,
                    std::string const& service, std::string const& timeout_s)
{
    return json{{"name", "r" + service + kind},
                {"kind", kind},
                {"target_latency_s", 0.3},
                {"priority", 1},
                {"sticky_sessions", false},
                {"match", {{"path_prefix", prefix}}},
                {"action",
                 {{"service", service},
                  {"timeout_s", std::stod(timeout_s)},
                  {"max_attempts", 2},
                  {"allowed_regions", json::array()}}}}
        .dump();
}

} // namespace bilberrylead::review
