#include "revision_watch.hpp"

#include "http_call.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace bilberrylead::scenario
{

namespace
{

constexpr std::chrono::milliseconds sample_pause{20};
constexpr std::chrono::milliseconds sample_patience{100};

} // namespace

revision_watch::revision_watch(std::map<std::string, std::uint16_t> ports,
                               std::string service)
    : ports(std::move(ports)), service(std::move(service))
{
    this->thread = std::thread(
        [this]()
        {
            while (!this->stopping)
            {
                this->sample_all();
                std::this_thread::sleep_for(sample_pause);
            }
        });
}

revision_watch::~revision_watch()
{
    this->stopping = true;
    this->thread.join();
}

std::uint64_t revision_watch::newest(std::string const& entry)
{
    std::lock_guard<std::mutex> const held(this->lock);
    return this->newest_seen[entry];
}

std::vector<std::string> revision_watch::decreases()
{
    std::lock_guard<std::mutex> const held(this->lock);
    return this->seen_decreases;
}

std::uint64_t revision_watch::samples()
{
    std::lock_guard<std::mutex> const held(this->lock);
    return this->sample_count;
}

void revision_watch::sample_all()
{
    for (std::pair<std::string const, std::uint16_t> const& row : this->ports)
    {
        call_result const answer =
            call(row.second, "GET", "/steering?service=" + this->service, {},
                 {}, sample_patience);
        nlohmann::json const body =
            nlohmann::json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object())
        {
            this->note(row.first, body.value("revision", std::uint64_t{0}));
        }
    }
}

void revision_watch::note(std::string const& entry, std::uint64_t revision)
{
    std::lock_guard<std::mutex> const held(this->lock);
    ++this->sample_count;
    std::uint64_t& newest = this->newest_seen[entry];
    if (revision < newest)
    {
        this->seen_decreases.push_back(
            fmt::format("{}: {} to {}", entry, newest, revision));
    }
    newest = std::max(newest, revision);
}

} // namespace bilberrylead::scenario
