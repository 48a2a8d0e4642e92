#include "memory_group.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <fmt/format.h>

#include <utility>

namespace bilberrylead::agreement_slopes
{

using agreement::event;
using agreement::replica_settings;

namespace
{

/// One digit each, so that names sort by place.
host_id name_of(std::size_t place)
{
    return host_id(fmt::format("control-{}", place));
}

} // namespace

memory_group::memory_group(std::size_t voters, std::uint64_t seed)
{
    agreement::membership members;
    for (std::size_t place = 0; place < voters; ++place)
    {
        this->names.push_back(name_of(place));
        members.put(agreement::member{name_of(place), 1, true, false});
    }
    agreement::started first;
    first.initial_membership = members;
    event const start = first;
    for (std::size_t place = 0; place < voters; ++place)
    {
        this->replicas.push_back(std::make_unique<agreement::replica>(
            name_of(place), 1, replica_settings(), seed + place));
        this->reduce(place, std::span(&start, 1));
    }

    // Only the first one's time passes, so that it is the one to stand.
    event const time = agreement::tick{};
    while (this->replicas.front()->role() != agreement::role::leader)
    {
        this->now += 2 * replica_settings().election_timeout;
        this->reduce(0, std::span(&time, 1));
        this->deliver_all();
    }
}

void memory_group::give_leader(std::span<event const> events)
{
    this->reduce(0, events);
    this->deliver_all();
}

void memory_group::heartbeat()
{
    this->now += replica_settings().heartbeat_interval;
    event const time = agreement::tick{};
    this->give_leader(std::span(&time, 1));
}

void memory_group::cut_last(bool lost)
{
    this->last_is_cut = lost;
}

void memory_group::count_bytes(bool wanted)
{
    this->counting = wanted;
}

std::uint64_t memory_group::message_bytes() const
{
    return this->counted;
}

std::uint64_t memory_group::last_voter_commit() const
{
    return this->replicas.back()->commit_index();
}

std::uint64_t memory_group::commit() const
{
    return this->replicas.front()->commit_index();
}

void memory_group::reduce(std::size_t place, std::span<event const> events)
{
    for (agreement::effect& one :
         this->replicas.at(place)->reduce(events, this->now))
    {
        if (agreement::send* const sent = std::get_if<agreement::send>(&one))
        {
            this->post(place, *sent);
        }
    }
}

void memory_group::post(std::size_t from, agreement::send& what)
{
    std::size_t to = 0;
    while (this->names.at(to) != what.to)
    {
        ++to;
    }
    std::size_t const last = this->names.size() - 1;
    if (this->last_is_cut && (from == last || to == last))
    {
        return;
    }
    if (this->counting)
    {
        this->counted += agreement::encode_message(what.message).size();
    }
    this->under_way.push_back(envelope{from, to, std::move(what.message)});
}

void memory_group::deliver_all()
{
    while (!this->under_way.empty())
    {
        envelope next = std::move(this->under_way.front());
        this->under_way.pop_front();
        event const arrived = agreement::message_received{
            this->names.at(next.from), std::move(next.message)};
        this->reduce(next.to, std::span(&arrived, 1));
    }
}

} // namespace bilberrylead::agreement_slopes
