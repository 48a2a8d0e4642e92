#include "review/stand_ins_2/deployment.hpp"

#include <atomic>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

/// A backend spoils the end of one answer while other backends work on the
/// requests of other clients.
namespace
{

using namespace bilberrylead::review;

constexpr std::size_t clients = 10;
constexpr std::size_t noise_bytes = 70'000;
constexpr std::size_t backend_count = 6;
constexpr milliseconds work{400};
constexpr milliseconds pause_of_clients{20};

std::string request_text(std::string const& path, std::string const& id)
{
    return to_text("GET " + path + " HTTP/1.1",
                   {{"Host", route_host},
                    {"Bilberrylead-Attempt-Id", id},
                    {"Bilberrylead-Deadline-Ms", "2000"}},
                   "");
}

struct tally
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> cut{0};
    std::atomic<unsigned> other{0};
};

/// A client that keeps its connection and sends one request after the other.
void run_client(std::size_t number, address const& to, record& lines,
                tally& counted, std::atomic<bool> const& ended)
{
    std::unique_ptr<connection> kept;
    for (unsigned count = 0; !ended; ++count)
    {
        if (kept == nullptr)
        {
            kept = connection::open(to, std::chrono::seconds(1));
        }
        if (kept == nullptr)
        {
            std::this_thread::sleep_for(milliseconds(200));
            continue;
        }
        std::string const id =
            "c" + std::to_string(number) + "-" + std::to_string(count);
        http_message answer;
        ++counted.sent;
        read_end const got =
            kept->send(request_text("/songs/" + id, id))
                ? kept->read(answer, clock::now() + std::chrono::seconds(2))
                : read_end::closed;
        if (got == read_end::whole)
        {
            ++(answer.status() == 200 ? counted.answered : counted.other);
        }
        else
        {
            ++(got == read_end::late ? counted.other : counted.cut);
        }
        lines.line("client request " + id + " -> " +
                   (got == read_end::whole  ? answer.start
                    : got == read_end::late ? "nothing in time"
                                            : "closed without an answer"));
        if (got != read_end::whole)
        {
            kept = nullptr;
        }
        std::this_thread::sleep_for(pause_of_clients);
    }
}

/// The head and the body of a sound answer, then bytes that are no answer,
/// without an end, until the caller closes.
bool answer_without_end(connection& to, backend const& from,
                        http_message const& request)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (auto const& [name, value] : from.answer_headers(request))
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "Transfer-Encoding: chunked\r\n\r\n5\r\nbytes\r\n0\r\n";
    std::string const noise = "n:" + std::string(noise_bytes, 'x') + "\r\n\r\n";
    bool open = to.send(text);
    for (int count = 0; open && count < 1000; ++count)
    {
        open = to.send(noise);
    }
    return true;
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
    for (int place = 0; place < 6; ++place)
    {
        backends.push_back(
            &system.add_backend("i-" + std::to_string(place), "songs", work));
    }
    std::atomic<bool> spoils{false};
    backend& faulty = *backends.front();
    faulty.spoil_with(
        [&faulty, &spoils, &lines](connection& to, http_message const& request)
        {
            if (!spoils.exchange(false))
            {
                return false;
            }
            lines.line("backend " + faulty.id() + " spoils the end of " +
                       request.header("bilberrylead-attempt-id"));
            return answer_without_end(to, faulty, request);
        });
    system.set_list(
        [&backends]
        {
            std::vector<std::string> rows;
            rows.reserve(backend_count + 1);
            for (backend const* each : backends)
            {
                rows.push_back(deployment::row(*each, "ready"));
            }
            return deployment::list(rows);
        });
    system.start(configuration_of("00000001", 16384,
                                  {rule_of("/songs/", "safe", "songs", "2.0")},
                                  {"songs"}));

    std::atomic<bool> ended{false};
    tally counted;
    std::vector<std::thread> running;
    running.reserve(clients);
    address const front = system.front(system.edges().front());
    for (std::size_t number = 0; number < clients; ++number)
    {
        running.emplace_back(
            [number, front, &lines, &counted, &ended]
            {
                run_client(number, front, lines, counted, ended);
            });
    }
    std::this_thread::sleep_for(std::chrono::seconds(5));
    unsigned const cut_before = counted.cut;
    spoils = trouble;
    bool crashed = false;
    for (int step = 0; step < 50; ++step)
    {
        std::this_thread::sleep_for(milliseconds(100));
        crashed = system.check_processes() || crashed;
    }
    ended = true;
    for (std::thread& each : running)
    {
        each.join();
    }
    unsigned const cut = counted.cut - cut_before;
    lines.line("sent " + std::to_string(counted.sent) + ", answered " +
               std::to_string(counted.answered) +
               ", closed without an answer " + std::to_string(counted.cut) +
               ", other " + std::to_string(counted.other));
    if (cut_before > 0 || counted.answered == 0)
    {
        system.give_up("clients were not served before the trouble");
    }
    // LOST: more than three; one of them is the spoiled answer's own.
    bool const broken = cut > 4;
    lines.line(std::string(broken ? "BROKEN" : "held") + ": " +
               std::to_string(cut) + " requests lost their answer" +
               (crashed ? ", a process ended by itself" : ""));
    return broken || crashed ? 1 : 0;
}
