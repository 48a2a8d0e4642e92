#ifndef BILBERRYLEAD_TESTS_UNIT_HTTP_PIPELINING_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_UNIT_HTTP_PIPELINING_FIXTURE_HPP

#include "tests/unit/http/http_fixture.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bilberrylead::http
{

inline server_settings pipelining(std::uint32_t requests,
                                  std::size_t answer_bytes = std::size_t{64}
                                                             << 10U)
{
    server_settings settings;
    settings.pipelining.max_requests = requests;
    settings.pipelining.max_answer_bytes = answer_bytes;
    return settings;
}

/// Waits for a condition for 5 s at most.
template <class Condition>
bool eventually(Condition condition)
{
    for (int round = 0; round < 1000 && !condition(); ++round)
    {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

/// Marks the last digit of a target as seen; true if it is new. A request that
/// is tried again must not be taken for another one.
inline bool mark(std::atomic<unsigned>& seen, request_text const& request)
{
    unsigned const bit =
        1U << static_cast<unsigned>(request.target().back() - '0');
    return (seen.fetch_or(bit) & bit) == 0;
}

constexpr unsigned seen_1_to_3 = 0b1110;

/// The body of the next answer, which must come.
inline std::string body_of(wire& caller)
{
    std::optional<answer_text> const answer = caller.answer();
    cr_assert(answer.has_value());
    return answer->body();
}

/// Answers each request of a connection with what `answer` makes of it; an
/// empty answer ends the connection.
inline std::function<void(wire&, int)>
answering(std::function<std::string(request_text const&)> answer)
{
    return [answer = std::move(answer)](wire& connection, int)
    {
        std::string text = "none yet";
        while (not text.empty())
        {
            std::optional<request_text> const request = connection.request();
            text = request.has_value() ? answer(*request) : std::string();
            connection.send(text);
        }
    };
}

/// An entry host with one upstream and one caller.
struct pipelined_pair
{
    pipelined_pair(server_settings const& settings,
                   std::function<void(wire&, int)> script)
        : upstream(std::move(script)), entry(settings)
    {
        this->entry.configure({this->upstream.port()});
        this->caller.emplace(this->entry.connect());
    }

    /// The bodies of the next answers are the targets.
    void expect_targets(std::vector<std::string> const& targets)
    {
        for (std::string const& target : targets)
        {
            cr_assert_eq(body_of(*this->caller), target);
        }
    }

    fake_upstream upstream;
    running_server entry;
    std::optional<wire> caller;
};

/// The same; the upstream counts requests and answers them with their targets
/// once `go` is set.
struct waiting_pair
{
    explicit waiting_pair(server_settings const& settings)
        : pair(settings, answering(
                             [this](request_text const& request)
                             {
                                 return this->wait_and_answer(request);
                             }))
    {
    }

    /// True once that many requests have arrived.
    bool runs(int count)
    {
        return eventually(
            [this, count]
            {
                return this->arrived == count;
            });
    }

    /// True if no more than that many requests arrive.
    bool runs_only(int count)
    {
        bool const reached = this->runs(count);
        std::this_thread::sleep_for(50ms);
        return reached && this->arrived == count;
    }

    std::string wait_and_answer(request_text const& request)
    {
        this->arrived += mark(this->seen, request) ? 1 : 0;
        eventually(
            [this]
            {
                return this->go.load();
            });
        return whole_answer_text(std::string(request.target()));
    }

    std::atomic<bool> go = false;
    std::atomic<int> arrived = 0;
    std::atomic<unsigned> seen = 0;
    pipelined_pair pair;
};

} // namespace bilberrylead::http

#endif
