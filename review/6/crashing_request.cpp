#include "review/stand_ins_2/deployment.hpp"

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

/// A request that crashes each backend that begins to run it comes again and
/// again, while the backends that it crashed are back under their ids.
namespace
{

using namespace bilberrylead::review;

constexpr std::size_t backend_count = 4;
constexpr milliseconds work{50};
constexpr milliseconds away{3000};
constexpr milliseconds contact{4000};
constexpr milliseconds of_test{45'000};
constexpr milliseconds between_crashing{1000};
constexpr unsigned clients_of_each_edge = 10;
constexpr char const* crashing_target = "/songs/crashing";

/// One request on a connection of its own; the first line of the answer.
std::string send_request(address const& to, std::string const& target,
                         std::string const& id)
{
    std::unique_ptr<connection> const opened =
        connection::open(to, std::chrono::seconds(1));
    http_message answer;
    if (opened == nullptr ||
        !opened->send(to_text("GET " + target + " HTTP/1.1",
                              {{"Host", route_host},
                               {"Bilberrylead-Attempt-Id", id},
                               {"Bilberrylead-Deadline-Ms", "1200"}},
                              "")) ||
        opened->read(answer, clock::now() + std::chrono::seconds(2)) !=
            read_end::whole)
    {
        return "no answer";
    }
    return answer.start;
}

unsigned count_crashes(std::vector<backend*> const& backends)
{
    unsigned sum = 0;
    for (backend const* each : backends)
    {
        sum += each->crashes();
    }
    return sum;
}

} // namespace

int main(int count, char const** values)
{
    if (count != 2)
    {
        return 2;
    }
    char const* const wanted = std::getenv("TROUBLE");
    bool const trouble = wanted == nullptr || std::string(wanted) != "0";
    record lines(values[1]);
    deployment system(lines, {});
    std::vector<backend*> backends;
    backends.reserve(backend_count);
    for (std::size_t place = 0; place < backend_count; ++place)
    {
        backends.push_back(
            &system.add_backend("i-" + std::to_string(place), "songs", work));
        backends.back()->crash_on(crashing_target, away, trouble);
    }
    system.set_list(
        [&backends]
        {
            std::vector<std::string> rows;
            rows.reserve(backend_count);
            for (backend const* each : backends)
            {
                rows.push_back(deployment::row(*each, "ready"));
            }
            return deployment::list(rows);
        });
    system.start(configuration_of("00000001", 16384,
                                  {rule_of("/songs/", "safe", "songs", "1.2")},
                                  {"songs"}));

    // The usual clients.
    std::atomic<bool> ended{false};
    std::atomic<unsigned> served{0};
    std::vector<std::thread> clients;
    for (machine const& edge : system.edges())
    {
        for (unsigned number = 0; number < clients_of_each_edge; ++number)
        {
            clients.emplace_back(
                [front = system.front(edge),
                 name = edge.name + "-" + std::to_string(number), &ended,
                 &served]
                {
                    for (unsigned sent = 0; !ended; ++sent)
                    {
                        std::string const id =
                            name + "-" + std::to_string(sent);
                        bool const whole =
                            send_request(front, "/songs/" + id, id)
                                .find(" 200 ") != std::string::npos;
                        served += whole ? 1 : 0;
                        std::this_thread::sleep_for(milliseconds(20));
                    }
                });
        }
    }

    // The client whose request crashes backends sends it once a second.
    clock::time_point const start = clock::now();
    clock::time_point third = clock::time_point::max();
    unsigned before = 0;
    for (unsigned sent = 0; clock::now() < start + of_test; ++sent)
    {
        std::string const id = "crashing-" + std::to_string(sent);
        machine const& edge = system.edges()[sent % system.edges().size()];
        std::string const got =
            send_request(system.front(edge), crashing_target, id);
        std::string text = "client request " + id;
        text.append(" at ").append(edge.name).append(" -> ").append(got);
        lines.line(text);
        if (count_crashes(backends) >= 3 && third == clock::time_point::max())
        {
            third = clock::now();
            lines.line("the request has crashed the third backend");
        }
        if (clock::now() < third || clock::now() < third + contact)
        {
            before = count_crashes(backends);
        }
        std::this_thread::sleep_for(between_crashing);
    }
    ended = true;
    for (std::thread& each : clients)
    {
        each.join();
    }
    system.check_processes();
    if (third == clock::time_point::max() || served == 0)
    {
        system.give_up("too few crashes, or no request was served");
    }
    unsigned const later = count_crashes(backends) - before;
    lines.line(std::string(later > 3 ? "BROKEN" : "held") + ": " +
               std::to_string(later) + " retries reached backends over " +
               std::to_string(contact.count()) + " ms after the third crash, " +
               std::to_string(before) + " before; " + std::to_string(served) +
               " other requests were served");
    return later > 3 ? 1 : 0;
}
