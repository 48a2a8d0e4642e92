#include "review/stand_ins/deployment.hpp"

#include "tests/unit/platform/settings_template.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>
#include <utility>

namespace bilberrylead::review
{

namespace
{

using nlohmann::json;

constexpr std::uint16_t control_port = 8544;
constexpr std::uint16_t directory_port = 8546;
constexpr std::uint16_t front_port = 8548;
constexpr std::uint16_t readiness_port = 8542;
constexpr std::uint16_t list_port = 8541;
constexpr int first_internal_port = 7540;
constexpr int last_internal_port = 7555;

constexpr int first_control_host = 10;
constexpr int first_backend = 50;
constexpr int first_entry_host = 100;
constexpr int platform_host = 200;

constexpr int redirect_status = 307;
constexpr int ok_status = 200;
constexpr int not_run_exit = 127;
constexpr std::chrono::milliseconds operator_patience{1000};
constexpr std::chrono::milliseconds caller_patience{4000};
constexpr std::chrono::milliseconds pause{50};

std::string read_file(std::string const& path)
{
    std::ifstream stream(path);
    return {std::istreambuf_iterator<char>(stream), {}};
}

void redirect(std::string const& path)
{
    int const file =
        ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
}

bool is_clear_refusal(int status)
{
    return status == 400 || status == 409 || status == 412 || status == 413 ||
           status == 422;
}

std::string zone_name(std::size_t place)
{
    return "zone-" + std::to_string(place);
}

std::string region_name(std::size_t place)
{
    return "region-" + std::to_string(place);
}

} // namespace

std::string write_list(std::vector<listed_backend> const& backends)
{
    json rows = json::array();
    for (listed_backend const& each : backends)
    {
        rows.push_back({each.service, each.address, zone_name(0), "v1", 3,
                        each.state, 0, each.id});
    }
    json const columns = {"service",          "address", "zone",
                          "version",          "slots",   "state",
                          "cold_remaining_s", "id"};
    return json{{"instances", {{"columns", columns}, {"rows", rows}}},
                {"next_token", nullptr}}
        .dump();
}

deployment::deployment(deployment_size const& wanted,
                       std::string program_folder, std::string template_folder,
                       record& out)
    : size(wanted), programs(std::move(program_folder)),
      templates(std::move(template_folder)), log(out)
{
    std::random_device source;
    std::uniform_int_distribution<int> number(2, 250);
    do
    {
        this->network = "127." + std::to_string(number(source)) + "." +
                        std::to_string(number(source)) + ".";
    } while (!is_free(this->address(platform_host), list_port) ||
             !is_free(this->address(first_control_host), control_port) ||
             !is_free(this->address(first_entry_host), front_port));
    std::string pattern =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->folder = ::mkdtemp(pattern.data());
}

deployment::~deployment()
{
    this->stop();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
}

std::string deployment::address(int number) const
{
    return this->network + std::to_string(number);
}

std::string deployment::backend_address(int number) const
{
    return this->address(first_backend + number);
}

pid_t deployment::control_process(std::size_t control_host) const
{
    return this->processes.at(control_host);
}

pid_t deployment::entry_process() const
{
    return this->processes.at(this->size.control_hosts);
}

bool deployment::all_run() const
{
    for (pid_t const each : this->processes)
    {
        if (::waitpid(each, nullptr, WNOHANG) != 0)
        {
            return false;
        }
    }
    return true;
}

void deployment::set_list(std::function<std::string()> text)
{
    this->list = std::move(text);
}

/// What the platform tells a host, with the bounds of the site autokalk.
json deployment::fields(std::string const& ip, std::size_t place) const
{
    json seeds = json::array();
    json zones = json::object();
    for (std::size_t each = 0; each < this->size.control_hosts; ++each)
    {
        zones[zone_name(each)] = region_name(each);
        if (each < 3)
        {
            seeds.push_back(
                this->address(first_control_host + static_cast<int>(each)) +
                ":" + std::to_string(control_port));
        }
    }
    json const listen = {
        {"front", ip + ":" + std::to_string(front_port)},
        {"readiness", ip + ":" + std::to_string(readiness_port)},
        {"control", ip + ":" + std::to_string(control_port)},
        {"directory", ip + ":" + std::to_string(directory_port)}};
    return {{"node_name", "host-" + ip},
            {"zone", zone_name(place)},
            {"region", region_name(place)},
            {"ip", ip},
            {"data_dir", this->folder + "/data-" + ip},
            {"bootstrap", true},
            {"listen", listen},
            {"internal_ports", {first_internal_port, last_internal_port}},
            {"seeds", seeds},
            {"zones", zones},
            {"limits", {{"link_mbps", 1000.0}}},
            {"cloud",
             {{"address",
               this->address(platform_host) + ":" + std::to_string(list_port)},
              {"rate_per_s", 44.0}}},
            {"fault_tolerance",
             {{"machines", this->size.losses},
              {"zones", this->size.losses},
              {"regions", this->size.losses}}},
            {"bounds",
             {{"drain_timeout_s", 3},
              {"grace_period_s", 6},
              {"ttl_max_s", 5},
              {"retry_budget_slack", 62},
              {"retry_budget_ratio", 0.2},
              {"cold_slack", 5},
              {"cold_rate_factor", 1.5}}}};
}

bool deployment::start_host(std::string const& program,
                            std::string const& settings,
                            std::string const& name, json const& fields)
{
    std::string const path = this->programs + "/" + program;
    std::string const file = this->folder + "/" + name + ".settings";
    std::ofstream(file) << tests::render_template(
        read_file(this->templates + "/" + settings), fields);
    pid_t const child = ::fork();
    if (child == 0)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        redirect(this->folder + "/" + name + ".log");
        ::execl(path.c_str(), path.c_str(), file.c_str(), nullptr);
        ::_exit(not_run_exit);
    }
    if (child > 0)
    {
        this->processes.push_back(child);
    }
    return child > 0;
}

bool deployment::start()
{
    bool const listening = listen_in_background(
        this->address(platform_host), list_port,
        [this](connection& caller)
        {
            while (caller.read_head().has_value())
            {
                std::string const body = this->list();
                caller.send("HTTP/1.1 200 OK\r\n"
                            "Content-Type: application/json\r\n"
                            "Content-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n" + body);
            }
        });
    bool started = listening;
    for (std::size_t each = 0; started && each < this->size.control_hosts;
         ++each)
    {
        std::string const ip =
            this->address(first_control_host + static_cast<int>(each));
        started =
            this->start_host("bilberry-platform-control", "control.settings",
                             "control-" + ip, this->fields(ip, each));
    }
    for (std::size_t each = 0; started && each < this->size.entry_hosts; ++each)
    {
        std::string const ip =
            this->address(first_entry_host + static_cast<int>(each));
        started = this->start_host("bilberry-platform-entry", "entry.settings",
                                   "entry-" + ip, this->fields(ip, 0));
    }
    return started;
}

void deployment::stop()
{
    for (pid_t const each : this->processes)
    {
        ::kill(each, SIGKILL);
        ::waitpid(each, nullptr, 0);
    }
    this->processes.clear();
}

bool deployment::wait_until_ready(std::chrono::milliseconds patience)
{
    std::chrono::steady_clock::time_point const end =
        std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < end)
    {
        http_result const asked =
            call(this->address(first_entry_host), readiness_port,
                 "GET /api/ready HTTP/1.1\r\nHost: ready\r\n"
                 "Connection: close\r\n\r\n",
                 operator_patience);
        if (asked.status == ok_status)
        {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

http_result deployment::order(std::string const& method,
                              std::string const& path, std::string const& body,
                              std::size_t control_host) const
{
    std::string host =
        this->address(first_control_host + static_cast<int>(control_host));
    http_result result;
    for (int hop = 0; hop < 3; ++hop)
    {
        result = call(host, control_port,
                      fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n"
                                  "Connection: close\r\n"
                                  "Content-Type: application/json\r\n"
                                  "Content-Length: {}\r\n\r\n{}",
                                  method, path, host, body.size(), body),
                      operator_patience);
        if (result.status != redirect_status)
        {
            break;
        }
        std::string const where = result.head.field("location");
        std::size_t const start = std::string("http://").size();
        host = where.substr(start, where.find(':', start) - start);
    }
    return result;
}

bool deployment::put(std::uint32_t version,
                     std::vector<configured_route> const& routes,
                     std::vector<std::string> const& services,
                     std::chrono::milliseconds patience)
{
    json rules = json::array();
    for (configured_route const& each : routes)
    {
        json const action = {{"service", each.service},
                             {"timeout_s", 2.0},
                             {"max_attempts", 2},
                             {"allowed_regions", json::array()}};
        rules.push_back({{"name", "route-" + each.service},
                         {"kind", each.kind},
                         {"target_latency_s", 0.5},
                         {"priority", 1},
                         {"sticky_sessions", false},
                         {"match", {{"path_prefix", each.path_prefix}}},
                         {"action", action}});
    }
    json clusters = json::array();
    for (std::string const& each : services)
    {
        clusters.push_back({{"name", each},
                            {"health_path", "/health"},
                            {"max_connections", 390},
                            {"protocol", "h1"},
                            {"tls", false},
                            {"cold_start_s", 3.0},
                            {"cold_per_s", 6.2}});
    }
    json listeners = json::array();
    if (!rules.empty())
    {
        listeners.push_back({{"host", "callers.example"}, {"rules", rules}});
    }
    std::ostringstream number;
    number << std::hex;
    number.width(8);
    number.fill('0');
    number << version;
    std::string const body = json{
        {"version", number.str()},
        {"limits",
         {{"max_header_bytes", 16384},
          {"max_body_bytes", 67108864},
          {"header_timeout_s", 3},
          {"idle_timeout_s", 15}}},
        {"listeners", listeners},
        {"clusters", clusters}}.dump();
    std::chrono::steady_clock::time_point const end =
        std::chrono::steady_clock::now() + patience;
    std::size_t next = 0;
    while (std::chrono::steady_clock::now() < end)
    {
        http_result const told = this->order("POST", "/api/config/put", body,
                                             next % this->size.control_hosts);
        ++next;
        if (told.status == ok_status || is_clear_refusal(told.status))
        {
            this->log.add("operator: configuration " + std::to_string(version) +
                          " with " + std::to_string(routes.size()) +
                          " routes -> " + std::to_string(told.status));
            return told.status == ok_status;
        }
        std::this_thread::sleep_for(pause);
    }
    this->log.add("operator: configuration " + std::to_string(version) +
                  " had no clear answer");
    return false;
}

http_result deployment::get(std::size_t control_host) const
{
    return this->order("GET", "/api/config/get", "", control_host);
}

std::string deployment::request_head(std::string const& attempt,
                                     std::string const& method,
                                     std::string const& path,
                                     std::size_t body_length)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: callers.example\r\n"
                       "Bilberrylead-Attempt-Id: {}\r\n"
                       "Bilberrylead-Deadline-Ms: 2000\r\n"
                       "Content-Length: {}\r\n\r\n",
                       method, path, attempt, body_length);
}

std::unique_ptr<connection> deployment::connect() const
{
    return connection::open(this->address(first_entry_host), front_port,
                            caller_patience);
}

http_result deployment::request(std::string const& attempt,
                                std::string const& method,
                                std::string const& path,
                                std::string const& body) const
{
    http_result const result =
        call(this->address(first_entry_host), front_port,
             request_head(attempt, method, path, body.size()) + body,
             caller_patience);
    this->log.add("caller: " + attempt + " " + method + " " + path + " -> " +
                  std::to_string(result.status) + " " +
                  result.body.substr(0, 100));
    return result;
}

} // namespace bilberrylead::review
