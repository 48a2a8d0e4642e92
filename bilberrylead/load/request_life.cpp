#include "bilberrylead/load/request_life.hpp"

#include "bilberrylead/core/process_clock.hpp"
#include "bilberrylead/load/caller_connections.hpp"
#include "bilberrylead/load/caller_steering.hpp"
#include "bilberrylead/load/load_run.hpp"
#include "bilberrylead/load/load_tally.hpp"
#include "bilberrylead/load/pipelined_connections.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace
{

namespace asio = boost::asio;

constexpr std::uint32_t whole = 100;
/// How often a caller sends the same request again before it gives up.
constexpr std::uint32_t most_sent_again = 10;
/// Pause before sending again when no answer says how long to wait.
constexpr std::chrono::milliseconds pause_unless_told(200);
/// Callers who were all told the same second come back spread out.
constexpr std::uint64_t spread_ms = 200;

} // namespace

request_life::request_life(load_profile const& load,
                           load_run_settings const& run,
                           planned_request const& planned, instant run_begin,
                           caller_connections& by,
                           pipelined_connections& pipelined_by,
                           caller_steering& steered, load_tally& counts)
    : profile(&load), settings(&run), plan(planned),
      kind(&load.requests[planned.kind]), begin(run_begin),
      attempt_start(run_begin + planned.start), connections(&by),
      pipelined(&pipelined_by), steering(&steered), tally(&counts),
      random(planned.seed)
{
}

asio::awaitable<void> request_life::run()
{
    if (!this->kind->idempotent || this->kind->guarded)
    {
        this->tally->expect_at_most_one_run(this->request_name());
    }
    exchange_result result;
    next_step step = next_step::ask_again;
    while (step != next_step::stop)
    {
        result = co_await this->attempt();
        this->tally->attempt_ended(result.kind);
        step = this->decide(result);
        if (step == next_step::come_back)
        {
            co_await this->wait(
                std::max<duration>(result.come_back, pause_unless_told));
            this->start_over();
        }
        else if (step == next_step::send_again)
        {
            co_await this->wait(
                std::max<duration>(result.come_back, pause_unless_told));
        }
    }
    this->finish(result);
    if (result.kind == answer_kind::done && this->plan.resend)
    {
        co_await this->resend();
    }
}

asio::awaitable<exchange_result> request_life::attempt()
{
    if (!this->settings->direct.empty())
    {
        std::vector<config::endpoint> const& all = this->settings->direct;
        connection_path const path =
            make_path(all[this->random() % all.size()], this->plan.source);
        co_return co_await this->attempt_at(path);
    }
    steering_answer const* const answer = co_await this->steering->hosts_for(
        this->kind->service, this->plan.source);
    steering_host const* const host =
        answer == nullptr ? nullptr
                          : choose_host(*answer, this->avoided, this->random());
    if (host == nullptr)
    {
        exchange_result result;
        result.kind = answer_kind::no_connection;
        co_return result;
    }
    std::string const id = host->id;
    this->tally->sent_to(id);
    connection_path const path = make_path(host->address, this->plan.source);
    exchange_result const result = co_await this->attempt_at(path);
    if (result.kind == answer_kind::no_connection ||
        result.kind == answer_kind::no_answer ||
        result.kind == answer_kind::cut)
    {
        this->avoided.push_back(id);
        this->steering->forget(this->kind->service, this->plan.source);
    }
    co_return result;
}

asio::awaitable<exchange_result>
request_life::attempt_at(connection_path const& path)
{
    exchange_request const request = this->next_exchange();
    if (this->may_be_pipelined())
    {
        co_return co_await this->pipelined->exchange(path, request);
    }
    co_return co_await exchange(*this->connections, path, request);
}

bool request_life::may_be_pipelined() const
{
    return this->profile->pipeline_depth > 1 && this->kind->idempotent &&
           !this->kind->guarded && this->kind->request_bytes == 0 &&
           this->plan.keep_alive;
}

exchange_request request_life::next_exchange() const
{
    exchange_request request;
    request.target = fmt::format("/{}{}?bytes={}", this->kind->service.text(),
                                 this->kind->path, this->kind->answer_bytes);
    request.request = this->request_name();
    request.key = this->kind->guarded ? this->request_name() : std::string();
    request.caller = this->plan.caller;
    request.customer_key = this->plan.customer_key;
    request.request_bytes = this->kind->request_bytes;
    request.answer_bytes = this->kind->answer_bytes;
    request.deadline = this->kind->deadline;
    request.repeated = this->may_have_run;
    request.keep_alive = this->plan.keep_alive;
    return request;
}

request_life::next_step request_life::decide(exchange_result const& result)
{
    bool const may_repeat = this->kind->idempotent || this->kind->guarded;
    bool const tries_left = this->sent_again < most_sent_again;
    switch (result.kind)
    {
    case answer_kind::not_run:
        if (this->come_backs < this->profile->most_come_backs &&
            this->random() % whole < this->profile->come_back_percent)
        {
            return next_step::come_back;
        }
        return next_step::stop;
    case answer_kind::in_progress:
    case answer_kind::no_connection:
        ++this->sent_again;
        return tries_left ? next_step::send_again : next_step::stop;
    case answer_kind::no_answer:
    case answer_kind::cut:
        this->may_have_run = true;
        ++this->sent_again;
        if (!may_repeat || !tries_left)
        {
            return next_step::stop;
        }
        return result.stale_connection ? next_step::ask_again
                                       : next_step::send_again;
    default:
        return next_step::stop;
    }
}

void request_life::start_over()
{
    if (!this->kind->guarded)
    {
        // The old id was told "not run": whatever ran under it is a lie.
        this->tally->expect_no_run(this->request_name());
        this->may_have_run = false;
    }
    ++this->come_backs;
    this->attempt_start = clock_now();
    this->avoided.clear();
}

void request_life::finish(exchange_result const& result)
{
    request_end end;
    end.kind = result.kind;
    end.start = this->plan.start;
    end.latency = clock_now() - this->attempt_start;
    end.late = end.latency > this->kind->deadline;
    end.come_backs = this->come_backs;
    this->tally->request_ended(this->kind->name, end);
    if (result.kind == answer_kind::not_run)
    {
        this->tally->expect_no_run(this->request_name());
    }
}

asio::awaitable<void> request_life::resend()
{
    exchange_result const result = co_await this->attempt();
    this->tally->attempt_ended(result.kind);
}

asio::awaitable<void> request_life::wait(duration time)
{
    duration const spread =
        std::chrono::milliseconds(this->random() % spread_ms);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time + spread);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

std::string request_life::request_name() const
{
    // A guarded request keeps its name: its recorded answer follows from
    // it. Others take a new one for each coming back, so that each "not
    // run" can be held against the run counts by itself.
    if (this->kind->guarded || this->come_backs == 0)
    {
        return fmt::format("{}-{}", this->settings->tag, this->plan.number);
    }
    return fmt::format("{}-{}-{}", this->settings->tag, this->plan.number,
                       this->come_backs);
}

} // namespace bilberrylead::load
