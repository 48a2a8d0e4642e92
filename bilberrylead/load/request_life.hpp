#ifndef BILBERRYLEAD_LOAD_REQUEST_LIFE_HPP
#define BILBERRYLEAD_LOAD_REQUEST_LIFE_HPP

#include "bilberrylead/core/time.hpp"
#include "bilberrylead/load/answer_kind.hpp"
#include "bilberrylead/load/caller_exchange.hpp"
#include "bilberrylead/load/load_profile.hpp"
#include "bilberrylead/load/request_plan.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace bilberrylead::load
{

class caller_connections;
class caller_steering;
class load_tally;
class pipelined_connections;
struct load_run_settings;

/// One request from its start to its final answer, as a sensible caller
/// lives it: comes back when told to, sends again what may run again or
/// carries a key, tries another entry host when one cannot be reached.
class request_life
{
public:
    /// All references must outlive it.
    request_life(load_profile const& load, load_run_settings const& run,
                 planned_request const& planned, instant run_begin,
                 caller_connections& by, pipelined_connections& pipelined_by,
                 caller_steering& steered, load_tally& counts);

    /// Lives it once.
    boost::asio::awaitable<void> run();

private:
    /// What the caller does after an attempt.
    enum class next_step
    {
        stop,
        come_back,
        send_again,
        ask_again,
    };

    boost::asio::awaitable<exchange_result> attempt();
    boost::asio::awaitable<exchange_result>
    attempt_at(connection_path const& path);
    boost::asio::awaitable<void> wait(duration time);
    boost::asio::awaitable<void> resend();
    bool may_be_pipelined() const;
    exchange_request next_exchange() const;
    next_step decide(exchange_result const& result);
    void start_over();
    void finish(exchange_result const& result);
    std::string request_name() const;

    load_profile const* profile;
    load_run_settings const* settings;
    planned_request plan;
    request_kind const* kind;
    instant begin;
    instant attempt_start;
    caller_connections* connections;
    pipelined_connections* pipelined;
    caller_steering* steering;
    load_tally* tally;
    std::mt19937_64 random;
    std::uint32_t come_backs = 0;
    /// True once a sending had no answer and may have run.
    bool may_have_run = false;
    std::uint32_t sent_again = 0;
    std::vector<std::string> avoided;
};

} // namespace bilberrylead::load

#endif
