#include "review/stand_ins_2/deployment.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

/// The backends of one service are restarted in place, one after the other:
/// each leaves, ends and starts again under the id that it had.
namespace
{

using namespace bilberrylead::review;

constexpr std::size_t backends_of_each = 4;
constexpr unsigned clients_of_each_edge = 8;
constexpr milliseconds work{100};
constexpr milliseconds list_lag{800};
/// drain_timeout_s and a little longer.
constexpr milliseconds drain{3500};
constexpr milliseconds away{1500};
constexpr milliseconds until_next{1000};
/// contact_s and a second.
constexpr milliseconds until_steady{5000};
constexpr milliseconds measured{10'000};

struct tally
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> served{0};
};

/// A client that keeps its connection and sends one request after the other.
void run_client(address const& to, std::string const& route,
                std::string const& name, std::atomic<bool> const& counts,
                std::atomic<bool> const& ended, tally& counted)
{
    std::unique_ptr<connection> kept;
    for (unsigned number = 0; !ended; ++number)
    {
        if (kept == nullptr)
        {
            kept = connection::open(to, std::chrono::seconds(1));
        }
        bool const is_counted = counts;
        http_message answer;
        std::string target = route;
        target.append(name).append("-").append(std::to_string(number));
        bool const whole =
            kept != nullptr &&
            kept->send(to_text("GET " + target + " HTTP/1.1",
                               {{"Host", route_host},
                                {"Bilberrylead-Attempt-Id", target.substr(1)},
                                {"Bilberrylead-Deadline-Ms", "1200"}},
                               "")) &&
            kept->read(answer, clock::now() + std::chrono::seconds(2)) ==
                read_end::whole;
        if (is_counted)
        {
            ++counted.sent;
            counted.served += whole && answer.status() == 200 ? 1 : 0;
        }
        if (!whole || answer.header("connection") == "close")
        {
            kept = nullptr;
        }
        std::this_thread::sleep_for(milliseconds(40));
    }
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
    std::vector<backend*> all;
    all.reserve(2 * backends_of_each);
    for (std::size_t place = 0; place < 2 * backends_of_each; ++place)
    {
        all.push_back(&system.add_backend(
            "i-" + std::to_string(place),
            place < backends_of_each ? "first" : "later", work));
    }
    std::array<std::atomic<bool>, 2 * backends_of_each> draining{};
    system.set_list(
        [&all, &draining]
        {
            std::vector<std::string> rows;
            rows.reserve(all.size());
            for (std::size_t place = 0; place < all.size(); ++place)
            {
                if (!all[place]->is_away())
                {
                    rows.push_back(deployment::row(
                        *all[place], draining[place] ? "draining" : "ready"));
                }
            }
            return deployment::list(rows);
        });
    std::string const first = rule_of("/first/", "safe", "first", "1.2");
    std::string const later = rule_of("/later/", "safe", "later", "1.2");
    system.start(
        configuration_of("00000001", 16384, {first}, {"first", "later"}));
    if (system.order("/api/config/put",
                     configuration_of("00000002", 16384, {first, later},
                                      {"first", "later"}),
                     std::chrono::seconds(10)) != 200)
    {
        system.give_up("the second configuration was not acknowledged");
    }
    lines.line("the route /later/ is added");
    std::this_thread::sleep_for(std::chrono::seconds(3));

    std::atomic<bool> ended{false};
    std::atomic<bool> counts{false};
    tally on_first;
    tally on_later;
    std::vector<std::thread> clients;
    for (machine const& edge : system.edges())
    {
        for (unsigned number = 0; number < clients_of_each_edge; ++number)
        {
            std::string const name = edge.name + "-" + std::to_string(number);
            address const front = system.front(edge);
            clients.emplace_back(
                [front, name, &counts, &ended, &on_first]
                {
                    run_client(front, "/first/", name, counts, ended, on_first);
                });
            clients.emplace_back(
                [front, name, &counts, &ended, &on_later]
                {
                    run_client(front, "/later/", name, counts, ended, on_later);
                });
        }
    }
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (std::size_t place = backends_of_each; place < all.size(); ++place)
    {
        backend& each = *all[place];
        each.leave();
        lines.line("backend " + each.id() + " says that it leaves");
        std::this_thread::sleep_for(list_lag);
        draining[place] = true;
        std::this_thread::sleep_for(drain);
        draining[place] = false;
        each.restart(away, trouble);
        std::this_thread::sleep_for(away + until_next);
    }
    std::this_thread::sleep_for(until_steady);
    lines.line("steady state");
    counts = true;
    std::this_thread::sleep_for(measured);
    counts = false;
    ended = true;
    for (std::thread& each : clients)
    {
        each.join();
    }
    system.check_processes();
    if (on_first.served == 0 || on_later.sent < 20)
    {
        system.give_up("the first route was not served, or too few were sent");
    }
    auto const share = [](tally const& of)
    {
        return static_cast<double>(of.served) / std::max(1U, of.sent.load());
    };
    bool const broken = share(on_later) < share(on_first) / 4;
    lines.line(std::string(broken ? "BROKEN" : "held") + ": /first/ served " +
               std::to_string(on_first.served) + " of " +
               std::to_string(on_first.sent) + ", /later/ served " +
               std::to_string(on_later.served) + " of " +
               std::to_string(on_later.sent));
    return broken ? 1 : 0;
}
