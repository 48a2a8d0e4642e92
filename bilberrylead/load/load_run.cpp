#include "bilberrylead/load/load_run.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/load/caller_connections.hpp"
#include "bilberrylead/load/caller_exchange.hpp"
#include "bilberrylead/load/caller_steering.hpp"
#include "bilberrylead/load/pipelined_connections.hpp"
#include "bilberrylead/load/request_life.hpp"
#include "bilberrylead/load/request_plan.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;

/// One run on one thread.
class load_runner
{
public:
    load_runner(load_profile const& given, load_run_settings const& more)
        : profile(&given), settings(&more),
          connections(this->context.get_executor()),
          pipelined(this->connections, given.pipeline_depth),
          steering(this->connections, more.steering, this->result.tally)
    {
    }

    load_run_result run()
    {
        instant const begin = clock_now();
        asio::co_spawn(this->context, this->send_all(begin), asio::detached);
        this->context.run();
        this->result.elapsed = clock_now() - begin;
        this->result.tally.note_pipelined(this->pipelined.counts());
        this->context.restart();
        asio::co_spawn(this->context, this->collect(), asio::detached);
        this->context.run();
        return std::move(this->result);
    }

private:
    asio::awaitable<void> send_all(instant begin)
    {
        request_plan plan(*this->profile);
        asio::steady_timer timer(this->context);
        while (std::optional<planned_request> request = plan.next())
        {
            instant const due = begin + request->start;
            duration const remaining = due - clock_now();
            if (remaining > duration::zero())
            {
                timer.expires_after(remaining);
                boost::system::error_code error;
                co_await timer.async_wait(
                    asio::redirect_error(asio::use_awaitable, error));
            }
            this->result.worst_delay =
                std::max(this->result.worst_delay, clock_now() - due);
            asio::co_spawn(this->context, this->live(*request, begin),
                           asio::detached);
        }
    }

    asio::awaitable<void> live(planned_request request, instant begin)
    {
        request_life life(*this->profile, *this->settings, request, begin,
                          this->connections, this->pipelined, this->steering,
                          this->result.tally);
        co_await life.run();
    }

    asio::awaitable<void> collect()
    {
        for (config::endpoint const& each : this->settings->stand_ins)
        {
            connection_path const path = make_path(each, "");
            std::string const page = "/stand-in/runs";
            std::string const text =
                co_await fetch(this->connections, path, page);
            if (!merge_run_counts(text, this->result.runs))
            {
                ++this->result.stand_ins_missing;
            }
        }
    }

    load_profile const* profile;
    load_run_settings const* settings;
    load_run_result result;
    asio::io_context context{1};
    caller_connections connections;
    pipelined_connections pipelined;
    caller_steering steering;
};

} // namespace

load_run_result run_load(load_profile const& profile,
                         load_run_settings const& settings)
{
    load_runner runner(profile, settings);
    return runner.run();
}

} // namespace bilberrylead::load
