#include "tests/unit/http/stream_check.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace bilberrylead;
using namespace bilberrylead::http;

namespace
{

constexpr std::size_t ample_memory = std::size_t{64} << 20U;
constexpr std::size_t piece = 256;
constexpr std::size_t held_bytes = 512;

/// A stride beyond any stream.
constexpr std::size_t only_once = std::size_t{1} << 20U;

/// What the streams of a test have reached.
struct stream_totals
{
    std::size_t streams = 0;
    std::uint64_t ahead = 0;
    std::uint64_t held = 0;
    std::uint64_t replaced = 0;
};

server_settings small_settings(std::uint32_t requests, std::size_t memory)
{
    server_settings settings;
    settings.pipelining.max_requests = requests;
    settings.pipelining.max_answer_bytes = held_bytes;
    settings.piece = piece;
    settings.memory = memory;
    settings.names.caller_names_request = true;
    return settings;
}

std::vector<planned_request> draw_plan(std::mt19937& random)
{
    std::vector<planned_request> plan;
    std::size_t const count = 2 + random() % 6;
    plan.reserve(count);
    for (std::size_t place = 0; place < count; ++place)
    {
        plan.push_back(planned_request::draw(random, place));
    }
    return plan;
}

std::string text_of(std::vector<planned_request> const& plan)
{
    std::string text;
    for (planned_request const& each : plan)
    {
        text += each.text();
    }
    return text;
}

/// A plan, where its bytes are cut, and the settings of its host.
struct drawn_stream
{
    std::vector<planned_request> plan;
    std::string text;
    std::size_t cut = 0;
    server_settings settings;
    unsigned seed = 0;

    std::vector<std::string> parts() const
    {
        return {this->text.substr(0, this->cut), this->text.substr(this->cut)};
    }
};

/// Every refused request has its log line; of these there are too many here.
void silence_log()
{
    int const nowhere = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    cr_assert_geq(::dup2(nowhere, STDOUT_FILENO), 0);
    ::close(nowhere);
}

/// Runs one stream; asserts with what is needed to run it again.
template <class Run>
std::string check_stream(stepped_host& host, drawn_stream const& drawn,
                         stream_totals& totals, Run const& run)
{
    stream_check checked(host, drawn.settings, drawn.plan, drawn.seed);
    run(checked, drawn);
    http_counters const& counters = host.counters();
    ++totals.streams;
    totals.ahead += counters.pipelined_requests;
    totals.held += counters.answers_held;
    totals.replaced += counters.held_answers_broken;
    cr_assert(checked.fault().empty(),
              "seed %u, cut %zu, window %u, memory %zu: %s\n%s", drawn.seed,
              drawn.cut, drawn.settings.pipelining.max_requests,
              drawn.settings.memory, checked.fault().c_str(),
              drawn.text.c_str());
    return checked.seen();
}

/// Runs `plans` plans with windows of 1 to 5, each cut at each `stride` bytes.
template <class Run>
stream_totals run_plans(unsigned seed, int plans, std::size_t memory,
                        Run const& run, std::size_t stride = 1)
{
    silence_log();
    stepped_host host;
    std::mt19937 random(seed);
    stream_totals totals;
    for (int count = 0; count < plans; ++count)
    {
        drawn_stream drawn;
        drawn.plan = draw_plan(random);
        drawn.text = text_of(drawn.plan);
        drawn.settings = small_settings(1 + random() % 5, memory);
        drawn.seed = random();
        for (drawn.cut = 0; drawn.cut <= drawn.text.size(); drawn.cut += stride)
        {
            check_stream(host, drawn, totals, run);
            ++drawn.seed;
        }
    }
    cr_log_info("%zu streams; %zu requests dispatched ahead, %zu answers "
                "held, %zu replaced",
                totals.streams, static_cast<std::size_t>(totals.ahead),
                static_cast<std::size_t>(totals.held),
                static_cast<std::size_t>(totals.replaced));
    return totals;
}

/// What the host decided in all, without times.
std::string decisions_of(stepped_host& host)
{
    entry::entry_counters const& counters = host.core->decisions().counters();
    std::string text;
    for (auto const& [service, counted] : counters.services)
    {
        for (std::uint64_t const value :
             {counted.done, counted.not_run, counted.unknown, counted.problems,
              counted.recorded, counted.callers_gone, counted.retries})
        {
            text += std::to_string(value) + " ";
        }
    }
    for (std::uint64_t const value : counters.refusals)
    {
        text += std::to_string(value) + " ";
    }
    return text;
}

void run_parts(stream_check& checked, drawn_stream const& drawn)
{
    checked.run(drawn.parts());
}

void run_single_bytes(stream_check& checked, drawn_stream const& drawn)
{
    std::vector<std::string> parts;
    parts.reserve(drawn.text.size());
    for (char const byte : drawn.text)
    {
        parts.emplace_back(1, byte);
    }
    checked.run(parts);
}

} // namespace

// An answer must never be lost, doubled or swapped, and nothing may run that
// must not, wherever the bytes are cut and however the answers end.
Test(pipelined_streams, cut_at_each_byte)
{
    stream_totals const totals =
        run_plans(20261204, 24, ample_memory, run_parts);
    cr_assert_gt(totals.ahead, 0);
    cr_assert_gt(totals.held, 0);
    cr_assert_gt(totals.replaced, 0);
}

// Memory for one request and little more: answers are streamed in their turn
// and requests wait for theirs, but each is answered.
Test(pipelined_streams, cut_at_each_byte_with_little_memory)
{
    run_plans(20261205, 30, 5 * piece, run_parts);
}

// Each byte comes alone.
Test(pipelined_streams, in_single_bytes)
{
    run_plans(20261206, 200, ample_memory, run_single_bytes, only_once);
}

// A body must not take more memory because it comes in small pieces.
Test(pipelined_streams, in_single_bytes_with_little_memory)
{
    run_plans(20261210, 200, 5 * piece, run_single_bytes, only_once);
}

// A planned stop lets nothing more be dispatched ahead, answers what has been
// dispatched, and closes with the last one.
Test(pipelined_streams, stopped_at_each_byte)
{
    run_plans(20261207, 30, ample_memory,
              [](stream_check& checked, drawn_stream const& drawn)
              {
                  checked.run_with_stop(drawn.parts());
              });
}

// A caller may leave at any byte; nothing of its requests may be left.
Test(pipelined_streams, left_at_each_byte)
{
    run_plans(20261208, 30, ample_memory,
              [](stream_check& checked, drawn_stream const& drawn)
              {
                  checked.run_with_leave({drawn.text.substr(0, drawn.cut)});
              });
}

// A host that does not pipeline decides as one that has no such settings.
Test(pipelined_streams, window_of_one_decides_as_without_the_setting)
{
    silence_log();
    stepped_host host;
    std::mt19937 random(20261209);
    stream_totals totals;
    for (int count = 0; count < 500; ++count)
    {
        drawn_stream drawn;
        drawn.plan = draw_plan(random);
        drawn.text = text_of(drawn.plan);
        drawn.cut = random() % drawn.text.size();
        drawn.seed = random();
        drawn.settings = small_settings(1, ample_memory);
        std::string const limited =
            check_stream(host, drawn, totals, run_parts);
        std::string const limited_decisions = decisions_of(host);
        drawn.settings.pipelining = config::pipelining_limits();
        std::string const plain = check_stream(host, drawn, totals, run_parts);
        cr_assert_eq(limited, plain);
        cr_assert_eq(limited_decisions, decisions_of(host));
    }
    cr_assert_eq(totals.ahead, 0);
    cr_assert_eq(totals.held, 0);
}
