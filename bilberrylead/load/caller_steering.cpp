#include "bilberrylead/load/caller_steering.hpp"

#include "bilberrylead/load/caller_connections.hpp"
#include "bilberrylead/load/caller_exchange.hpp"
#include "bilberrylead/load/load_tally.hpp"

#include <chrono>
#include <optional>

// g++ 12 takes the coroutine frames' own new and delete for a mismatch.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace bilberrylead::load
{

namespace asio = boost::asio;

caller_steering::caller_steering(caller_connections& by,
                                 std::vector<config::endpoint> const& asked,
                                 load_tally& counts)
    : connections(&by), steering(&asked), tally(&counts)
{
}

asio::awaitable<steering_answer const*>
caller_steering::hosts_for(service_id const& service, std::string const& source)
{
    // Elements of a map stay where they are while others are added.
    kept_answer& kept = this->answers[{service, source}];
    if (!kept.known || std::chrono::steady_clock::now() >= kept.good_until)
    {
        co_await this->ask(service, source, kept);
    }
    co_return kept.known ? &kept.answer : nullptr;
}

void caller_steering::forget(service_id const& service,
                             std::string const& source)
{
    this->answers[{service, source}].good_until = instant{};
}

asio::awaitable<bool> caller_steering::ask(service_id const& service,
                                           std::string const& source,
                                           kept_answer& kept)
{
    for (std::size_t tries = 0; tries < this->steering->size(); ++tries)
    {
        config::endpoint const asked =
            (*this->steering)[this->next_asked++ % this->steering->size()];
        connection_path const path = make_path(asked, source);
        std::string const page = "/steering?service=" + service.text();
        std::string const text = co_await fetch(*this->connections, path, page);
        std::optional<steering_answer> answer = parse_steering_answer(text);
        if (answer.has_value())
        {
            this->tally->note_revision(to_string(asked), answer->from_revision);
            kept.good_until =
                std::chrono::steady_clock::now() + answer->time_to_live;
            kept.answer = *std::move(answer);
            kept.known = true;
            co_return true;
        }
    }
    co_return false;
}

} // namespace bilberrylead::load
