#include "review/stand_ins/deployment.hpp"
#include "review/stand_ins/record.hpp"
#include "review/stand_ins/wire.hpp"

#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <thread>

/// Callers leave in the middle of a long upload that its back end has already
/// answered. See claim.txt.

namespace
{

using namespace bilberrylead::review;
using std::chrono::milliseconds;

constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

constexpr std::uint16_t backend_port = 8080;
/// A request above this is long for the back end.
constexpr std::size_t long_body = 65536;
constexpr std::size_t upload_size = 200'000;
constexpr std::size_t sent_before_leaving = 100'000;
/// Half of the route's target_latency_s.
constexpr milliseconds left_after{250};
constexpr int rounds = 3;
/// Every byte of an upload; no other request contains it.
constexpr char upload_byte = '~';
/// Bytes that the record shows of what stands in its place, at most.
constexpr std::size_t shown_bytes = 400;

/// Reads a long body as it comes and compares it with what the caller of that
/// request sends. False if anything else stands there.
bool read_upload(connection& caller, record& log, std::string const& attempt,
                 std::size_t length)
{
    for (std::size_t count = 0; count < length; ++count)
    {
        std::string const byte = caller.read(1);
        if (byte.empty())
        {
            log.add(fmt::format("back end: {} ended after {} of {} bytes",
                                attempt, count, length));
            return true;
        }
        if (byte.front() != upload_byte)
        {
            log.add(fmt::format("back end: BROKEN, byte {} of the body of {} "
                                "is not its caller's; there stands: {}{}",
                                count, attempt, byte,
                                caller.read(shown_bytes)));
            return false;
        }
    }
    log.add("back end: " + attempt + " is in whole");
    return true;
}

/// A back end that rejects long requests before they are in, as its pages
/// allow, keeps the connection and reads on.
void serve_backend(connection& caller, record& log, std::atomic<int>& broken)
{
    while (std::optional<http_head> const head = caller.read_head())
    {
        std::string const attempt = head->field("bilberrylead-attempt-id");
        std::size_t const length = head->body_length();
        std::string const same = fmt::format(
            "Bilberrylead-Attempt-Id: {}\r\nConnection: keep-alive\r\n",
            attempt);
        if (length > long_body)
        {
            log.add(fmt::format("back end: {} is rejected before it is in",
                                attempt));
            caller.send(fmt::format("HTTP/1.1 503 Service Unavailable\r\n"
                                    "Bilberrylead-Not-Executed: 1\r\n"
                                    "{}Content-Length: 0\r\n\r\n",
                                    same));
            if (!read_upload(caller, log, attempt, length))
            {
                ++broken;
                return;
            }
            continue;
        }
        std::string const body = caller.read(length);
        if (body.size() < length)
        {
            return;
        }
        log.add(fmt::format("back end: runs {} {}", attempt, head->first_line));
        caller.send(fmt::format("HTTP/1.1 200 OK\r\n"
                                "Bilberrylead-Response-Signature: signed-{}\r\n"
                                "{}Content-Length: 4\r\n\r\ndone",
                                attempt, same));
    }
}

/// Sends an upload. The caller leaves in its middle if told so; otherwise it
/// sends all and takes the answer.
void upload(deployment const& system, record& log, std::string const& attempt,
            bool leaves)
{
    std::unique_ptr<connection> const to = system.connect();
    if (to == nullptr)
    {
        log.add("caller: " + attempt + " could not connect");
        return;
    }
    to->send(deployment::request_head(attempt, "POST", "/uploads/book",
                                      upload_size) +
             std::string(sent_before_leaving, upload_byte));
    std::this_thread::sleep_for(left_after);
    if (leaves)
    {
        log.add("caller: " + attempt + " leaves after " +
                std::to_string(sent_before_leaving) + " of " +
                std::to_string(upload_size) + " bytes");
        return;
    }
    to->send(std::string(upload_size - sent_before_leaving, upload_byte));
    log.add("caller: " + attempt + " sent all -> " +
            std::to_string(read_result(*to).status));
}

int run(bool has_trouble, std::string const& programs,
        std::string const& templates, std::string const& record_file)
{
    record log(record_file);
    std::atomic<int> broken = 0;
    deployment system({}, programs, templates, log);
    std::string const address = system.backend_address(0);
    system.set_list(
        [address]
        {
            return write_list(
                {{"i-1", "ledger", address + ":" + std::to_string(backend_port),
                  "ready"}});
        });
    bool const listening =
        listen_in_background(address, backend_port,
                             [&log, &broken](connection& caller)
                             {
                                 serve_backend(caller, log, broken);
                             });
    bool const started = listening && system.start() &&
                         system.put(1, {{"/uploads/", "unsafe", "ledger"}},
                                    {"ledger"}, milliseconds(20000)) &&
                         system.wait_until_ready(milliseconds(20000));
    if (!started)
    {
        log.add("the case could not run");
        return could_not_run;
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    for (int round = 1; round <= rounds; ++round)
    {
        std::string const number = std::to_string(round);
        system.request("warm-" + number, "POST", "/uploads/page", "warm");
        upload(system, log, "upload-" + number, has_trouble);
        std::this_thread::sleep_for(milliseconds(300));
        system.request("grant-" + number, "POST", "/uploads/grant",
                       "grant of another caller, number " + number);
    }
    bool const alive = system.all_run();
    system.stop();
    if (!alive)
    {
        log.add("a host ended by itself");
    }
    log.add(broken > 0 ? "UNASKED is broken: " + std::to_string(broken) +
                             " long bodies got other bytes"
                       : "UNASKED held");
    return broken > 0 ? rule_broken : rule_held;
}

} // namespace

int main(int count, char const** values)
{
    constexpr int expected = 4;
    if (count != expected)
    {
        return could_not_run;
    }
    char const* const trouble = std::getenv("TROUBLE");
    bool const has_trouble = trouble == nullptr || std::string(trouble) != "0";
    int const ended = run(has_trouble, values[1], values[2], values[3]);
    // Threads that still wait for bytes end with the process.
    std::_Exit(ended);
}
