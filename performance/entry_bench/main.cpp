// Measures what the entry path adds to a small request, how many requests
// a second one core carries, and what 1,000 downloads hold in memory. Each
// figure through the entry host stands beside the one without it, of the
// same run.

#include "bilberrylead/core/process_seed.hpp"
#include "bilberrylead/http/caller_server.hpp"
#include "performance/entry_bench/bench_upstream.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <sys/resource.h>
#include <time.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace bilberrylead;
using namespace std::chrono_literals;

namespace
{

constexpr int latency_rounds = 20;
constexpr int requests_a_round = 1000;
constexpr int load_connections = 64;
constexpr std::chrono::seconds load_time{3};
constexpr int downloads = 1000;
constexpr std::size_t first_part = 1024;

std::string const brief_request = "GET /s/brief HTTP/1.1\r\nHost: h\r\n\r\n";
std::string const bundle_request =
    "GET /s/bundle HTTP/1.1\r\nHost: h\r\nBilberry-Deadline-Ms: 60000\r\n\r\n";

/// The entry host on a thread of its own.
class bench_entry
{
public:
    explicit bench_entry(std::uint16_t upstream_port)
        : server(this->context, {}, process_seed(host_id("entry-bench"), 1), {})
    {
        std::shared_ptr<config::configuration> made =
            std::make_shared<config::configuration>();
        config::service service;
        service.id = service_id("s");
        service.idempotent = true;
        service.deadline = 60s;
        service.progress_timeout = 60s;
        made->services.push_back(service);
        config::upstream upstream;
        upstream.id = upstream_id("u");
        upstream.service = service.id;
        upstream.address = {"127.0.0.1", upstream_port};
        upstream.slots = 2 * downloads;
        made->upstreams.push_back(upstream);
        if (!this->server.listen().ok())
        {
            std::abort();
        }
        this->server.dispatch(entry::configuration_received{1, made});
        this->thread = std::thread(
            [this]
            {
                this->context.run();
            });
    }

    ~bench_entry()
    {
        this->context.stop();
        this->thread.join();
    }

    bench_entry(bench_entry const&) = delete;
    bench_entry& operator=(bench_entry const&) = delete;

    std::uint16_t port() const
    {
        return this->server.port();
    }

    /// Processor time its thread has used.
    std::chrono::nanoseconds cpu_time()
    {
        timespec used{};
        clockid_t clock{};
        pthread_getcpuclockid(this->thread.native_handle(), &clock);
        clock_gettime(clock, &used);
        return std::chrono::seconds(used.tv_sec) +
               std::chrono::nanoseconds(used.tv_nsec);
    }

    /// Bytes of bodies it holds.
    std::size_t memory_in_use()
    {
        std::promise<std::size_t> answer;
        boost::asio::post(
            this->context,
            [this, &answer]
            {
                answer.set_value(
                    this->server.connection_counters().memory_in_use);
            });
        return answer.get_future().get();
    }

private:
    boost::asio::io_context context{1};
    http::caller_server server;
    std::thread thread;
};

using client_socket = boost::asio::ip::tcp::socket;

client_socket connect(boost::asio::io_context& context, std::uint16_t port)
{
    client_socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    socket.set_option(boost::asio::ip::tcp::no_delay(true));
    return socket;
}

/// Reads one answer: a head, then 100 times x.
void read_answer(client_socket& socket, std::string& got)
{
    std::size_t size = 0;
    std::size_t head = std::string::npos;
    while (head == std::string::npos || size < head + 104)
    {
        size += socket.read_some(
            boost::asio::buffer(got.data() + size, got.size() - size));
        head = std::string_view(got.data(), size).find("\r\n\r\n");
    }
}

/// Time each of the round's requests took, one after the other.
void time_requests(client_socket& socket, std::vector<double>& took_us)
{
    std::string got(8192, '\0');
    for (int each = 0; each < requests_a_round; ++each)
    {
        std::chrono::steady_clock::time_point const start =
            std::chrono::steady_clock::now();
        boost::asio::write(socket, boost::asio::buffer(brief_request));
        read_answer(socket, got);
        std::chrono::duration<double, std::micro> const took =
            std::chrono::steady_clock::now() - start;
        took_us.push_back(took.count());
    }
}

double quantile(std::vector<double>& values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1))];
}

void measure_latency(std::uint16_t direct_port, std::uint16_t entry_port)
{
    boost::asio::io_context context;
    client_socket direct = connect(context, direct_port);
    client_socket through = connect(context, entry_port);
    std::vector<double> direct_us;
    std::vector<double> through_us;
    for (int round = 0; round < latency_rounds; ++round)
    {
        time_requests(direct, direct_us);
        time_requests(through, through_us);
    }
    double const direct_median = quantile(direct_us, 0.5);
    double const through_median = quantile(through_us, 0.5);
    fmt::print("| one caller, median us | {:.0f} | {:.0f} | {:.2f} |\n",
               direct_median, through_median, through_median / direct_median);
    fmt::print("| one caller, p99 us | {:.0f} | {:.0f} | {:.2f} |\n",
               quantile(direct_us, 0.99), quantile(through_us, 0.99),
               quantile(through_us, 0.99) / quantile(direct_us, 0.99));
    fmt::print("added at the median: {:.3f} ms\n",
               (through_median - direct_median) / 1000);
}

/// Answers a second over many connections, four to a thread.
double measure_load(std::uint16_t port)
{
    std::atomic<bool> stop = false;
    std::atomic<std::uint64_t> answers = 0;
    std::vector<std::thread> threads;
    threads.reserve(load_connections / 4);
    for (int each = 0; each < load_connections / 4; ++each)
    {
        threads.emplace_back(
            [port, &stop, &answers]
            {
                boost::asio::io_context context;
                std::vector<client_socket> sockets;
                sockets.reserve(4);
                for (int place = 0; place < 4; ++place)
                {
                    sockets.push_back(connect(context, port));
                }
                std::string got(8192, '\0');
                while (!stop)
                {
                    for (client_socket& socket : sockets)
                    {
                        boost::asio::write(socket,
                                           boost::asio::buffer(brief_request));
                    }
                    for (client_socket& socket : sockets)
                    {
                        read_answer(socket, got);
                    }
                    answers += sockets.size();
                }
            });
    }
    std::chrono::steady_clock::time_point const start =
        std::chrono::steady_clock::now();
    std::this_thread::sleep_for(load_time);
    stop = true;
    for (std::thread& each : threads)
    {
        each.join();
    }
    std::chrono::duration<double> const took =
        std::chrono::steady_clock::now() - start;
    return static_cast<double>(answers) / took.count();
}

double resident_mib()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * 4096 / (1024 * 1024);
}

void measure_downloads(bench_entry& entry)
{
    boost::asio::io_context context;
    double const before = resident_mib();
    std::vector<client_socket> sockets;
    sockets.reserve(downloads);
    for (int each = 0; each < downloads; ++each)
    {
        sockets.push_back(connect(context, entry.port()));
        boost::asio::write(sockets.back(), boost::asio::buffer(bundle_request));
    }
    std::string got(first_part, '\0');
    for (client_socket& socket : sockets)
    {
        boost::asio::read(socket, boost::asio::buffer(got));
    }
    // Nobody reads on, so every download now stands with full buffers.
    std::this_thread::sleep_for(1s);
    fmt::print("{} downloads of 8 MiB under way: {:.1f} MiB of pieces, "
               "resident {:.1f} MiB before, {:.1f} MiB during (callers and "
               "upstream in the same process)\n",
               downloads,
               static_cast<double>(entry.memory_in_use()) / (1024 * 1024),
               before, resident_mib());
}

void raise_file_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

int main()
{
    raise_file_limit();
    bench::bench_upstream upstream;
    bench_entry entry(upstream.port());
    fmt::print("| figure | direct | through entry | ratio |\n"
               "| --- | --- | --- | --- |\n");
    measure_latency(upstream.port(), entry.port());
    double const direct = measure_load(upstream.port());
    std::chrono::duration<double> const before = entry.cpu_time();
    double const through = measure_load(entry.port());
    std::chrono::duration<double> const used = entry.cpu_time() - before;
    double const busy =
        used.count() / std::chrono::duration<double>(load_time).count();
    fmt::print("| {} callers, answers/s | {:.0f} | {:.0f} | {:.2f} |\n",
               load_connections, direct, through, through / direct);
    fmt::print("entry thread: {:.2f} of a core, {:.0f} requests/s a core\n",
               busy, through / busy);
    measure_downloads(entry);
    return 0;
}
