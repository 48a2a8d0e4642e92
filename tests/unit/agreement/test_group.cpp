#include "test_group.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

namespace bilberrylead::agreement::tests
{

namespace
{

/// A message is encoded and decoded on delivery whenever the number of messages
/// in flight is a multiple of this.
constexpr std::uint64_t codec_stride = 8;

} // namespace

test_group::test_group(std::size_t initial_members, std::size_t spare_hosts,
                       std::uint64_t first_seed,
                       replica_settings const& group_settings,
                       safeguards const& enabled)
    : settings(group_settings), enabled_safeguards(enabled), seed(first_seed)
{
    this->hosts.resize(initial_members + spare_hosts);
    for (std::size_t host_index = 0; host_index < this->hosts.size();
         ++host_index)
    {
        test_host& host = this->hosts.at(host_index);
        host.id = host_id(fmt::format("c{}", host_index));
        host.initial_member = host_index < initial_members;
        if (host.initial_member)
        {
            this->initial_membership.put(member{host.id, 1, true, false});
        }
    }
    for (std::size_t host_index = 0; host_index < this->hosts.size();
         ++host_index)
    {
        this->start(host_index);
    }
}

instant test_group::now_at(std::size_t host_index) const
{
    return instant(this->elapsed * this->hosts.at(host_index).clock_rate /
                   1000);
}

void test_group::start(std::size_t host_index)
{
    test_host& host = this->hosts.at(host_index);
    host.replica = std::make_unique<replica>(
        host.id, host.incarnation, this->settings,
        this->seed * this->hosts.size() + host_index, this->enabled_safeguards);
    host.frozen = false;
    host.applied = 0;
    host.committed = 0;
    started first = host.disk.read();
    if (host.initial_member && host.incarnation == 1)
    {
        first.initial_membership = this->initial_membership;
    }
    this->process(host_index, first);
}

void test_group::crash(std::size_t host_index, std::size_t kept)
{
    test_host& host = this->hosts.at(host_index);
    host.replica.reset();
    host.pending_effects.clear();
    host.disk.crash(std::min(kept, host.disk.unsynced_writes()));
}

void test_group::lose_disk(std::size_t host_index)
{
    test_host& host = this->hosts.at(host_index);
    host.disk.wipe();
    ++host.incarnation;
}

void test_group::block_link(std::size_t from, std::size_t to)
{
    this->blocked_links.emplace(from, to);
}

void test_group::isolate(std::size_t host_index)
{
    for (std::size_t other = 0; other < this->hosts.size(); ++other)
    {
        this->block_link(host_index, other);
        this->block_link(other, host_index);
    }
}

void test_group::heal()
{
    this->blocked_links.clear();
}

void test_group::process(std::size_t host_index, event const& event)
{
    this->reduce(host_index, event);
    this->carry_out_all(host_index);
}

void test_group::reduce(std::size_t host_index, event const& event)
{
    this->reduce(host_index, std::span(&event, 1));
}

void test_group::reduce(std::size_t host_index, std::span<event const> events)
{
    test_host& host = this->hosts.at(host_index);
    instant const now = this->now_at(host_index);
    bool const was_leader = host.is_leader();
    std::uint64_t const term_before = host.replica->term();
    for (effect& one : host.replica->reduce(events, now))
    {
        host.pending_effects.push_back(std::move(one));
    }
    if (host.is_leader() && !was_leader)
    {
        host.leader_since = now;
    }
    if (!std::holds_alternative<started>(events.front()))
    {
        this->check_campaigns(host, term_before);
    }
    this->check_host(host, now);
}

void test_group::check_host(test_host& host, instant now)
{
    if (host.is_leader())
    {
        this->checker.record_leader(host.id, host.replica->term());
        this->check_quorum(host, now);
    }
    if (host.replica->commit_index() < host.committed)
    {
        this->checker.fail(
            fmt::format("the commit index of {} decreased", host.id.text()));
    }
    host.committed = host.replica->commit_index();
}

/// A host that receives no messages must not raise its term repeatedly: on its
/// return it would depose a healthy leader.
void test_group::check_campaigns(test_host& host, std::uint64_t term_before)
{
    bool const campaigned =
        host.replica->term() > term_before &&
        (host.replica->role() == role::candidate || host.is_leader());
    bool const alone = host.replica->membership().quorum() <= 1;
    host.campaigns_without_contact += campaigned && !alone ? 1 : 0;
    if (host.campaigns_without_contact > 1)
    {
        this->checker.fail(fmt::format("{} raises its term without receiving "
                                       "any message",
                                       host.id.text()));
    }
}

/// A leader must detect by its own clock that it lost its quorum.
void test_group::check_quorum(test_host const& host, instant now)
{
    instant const oldest = now - 2 * this->settings.election_timeout;
    if (host.leader_since > oldest)
    {
        return;
    }
    membership const& members = host.replica->membership();
    std::size_t recent_voters = 0;
    for (member const& one : members.members)
    {
        auto const last = host.last_received_at.find(one.host);
        bool const received_recently =
            one.host == host.id ||
            (last != host.last_received_at.end() && last->second > oldest);
        recent_voters += one.voter && received_recently ? 1 : 0;
    }
    if (recent_voters < members.quorum())
    {
        this->checker.fail(
            fmt::format("{} leads but received from {} of {} voters",
                        host.id.text(), recent_voters, members.voters()));
    }
}

void test_group::carry_out(std::size_t host_index, std::size_t count)
{
    for (std::size_t done = 0;
         done < count && !this->hosts.at(host_index).pending_effects.empty();
         ++done)
    {
        test_host& host = this->hosts.at(host_index);
        effect const next = std::move(host.pending_effects.front());
        host.pending_effects.pop_front();
        this->carry_out(host, next);
    }
}

void test_group::carry_out_all(std::size_t host_index)
{
    while (!this->hosts.at(host_index).pending_effects.empty())
    {
        this->carry_out(host_index, 1);
    }
}

void test_group::carry_out(test_host& host, effect const& next)
{
    std::size_t const host_index =
        static_cast<std::size_t>(&host - this->hosts.data());
    std::visit(
        [&](auto const& one)
        {
            using kind = std::remove_cvref_t<decltype(one)>;
            if constexpr (std::is_same_v<kind, sync>)
            {
                host.disk.sync();
            }
            else if constexpr (std::is_same_v<kind, send>)
            {
                this->enqueue(host_index, one);
            }
            else if constexpr (std::is_same_v<kind, apply>)
            {
                ++host.applied;
                this->checker.record_apply(host.id, host.applied, one.entry);
            }
            else if constexpr (std::is_same_v<kind, restore>)
            {
                host.applied = one.snapshot.last_index;
                this->checker.record_restore(host.id, one.snapshot);
            }
            else if constexpr (std::is_same_v<kind, proposal_accepted>)
            {
                this->outcomes[one.token] = outcome::accepted;
                this->checker.record_accepted(one.index);
            }
            else if constexpr (std::is_same_v<kind, proposal_refused>)
            {
                this->outcomes[one.token] = outcome::refused;
            }
            else if constexpr (std::is_same_v<kind, proposal_outcome_unknown>)
            {
                this->outcomes[one.token] = outcome::unknown;
            }
            else if constexpr (std::is_same_v<kind, read_ready>)
            {
                this->read_answers[one.token] = one.index;
                this->checker.record_read_answer(host.id, one.token, one.index);
            }
            else if constexpr (std::is_same_v<kind, take_snapshot>)
            {
                this->reduce(host_index,
                             snapshot_taken{one.index,
                                            this->checker.state_at(one.index)});
            }
            else if constexpr (!std::is_same_v<kind, role_changed> &&
                               !std::is_same_v<kind, read_refused>)
            {
                host.disk.write(next);
            }
        },
        next);
}

void test_group::enqueue(std::size_t from, send const& sent)
{
    auto const receiver = std::ranges::find_if(this->hosts,
                                               [&sent](test_host const& one)
                                               {
                                                   return one.id == sent.to;
                                               });
    std::size_t const to =
        static_cast<std::size_t>(receiver - this->hosts.begin());
    if (to < this->hosts.size() && !this->blocked_links.contains({from, to}))
    {
        this->in_flight.push_back(envelope{from, to, sent.message});
    }
}

void test_group::deliver(std::size_t message_index, bool keep)
{
    auto const position =
        this->in_flight.begin() + static_cast<std::ptrdiff_t>(message_index);
    envelope next = *position;
    if (!keep)
    {
        this->in_flight.erase(position);
    }
    std::size_t const to = next.to;
    std::optional<message_received> const arrived =
        this->receive(std::move(next));
    if (arrived.has_value())
    {
        this->reduce(to, *arrived);
    }
}

void test_group::deliver_batch(std::size_t to, std::size_t max_messages)
{
    std::vector<event> events;
    for (auto next = this->in_flight.begin();
         next != this->in_flight.end() && events.size() < max_messages;)
    {
        if (next->to != to)
        {
            ++next;
            continue;
        }
        std::optional<message_received> arrived =
            this->receive(std::move(*next));
        next = this->in_flight.erase(next);
        if (arrived.has_value())
        {
            events.emplace_back(std::move(*arrived));
        }
    }
    if (!events.empty())
    {
        this->reduce(to, events);
    }
}

std::optional<message_received> test_group::receive(envelope&& next)
{
    test_host& host = this->hosts.at(next.to);
    if (!host.is_running())
    {
        return std::nullopt;
    }
    if (this->in_flight.size() % codec_stride == 0)
    {
        absl::StatusOr<message> const copy =
            decode_message(encode_message(next.message));
        if (!copy.ok() || *copy != next.message)
        {
            this->checker.fail("a message differs after encoding and decoding");
        }
    }
    host_id const& sender = this->hosts.at(next.from).id;
    host.last_received_at[sender] = this->now_at(next.to);
    host.campaigns_without_contact = 0;
    return message_received{sender, std::move(next.message)};
}

void test_group::deliver_all()
{
    while (!this->in_flight.empty() && !this->checker.violation.has_value())
    {
        std::size_t const to = this->in_flight.front().to;
        this->deliver(0);
        if (this->hosts.at(to).is_running())
        {
            this->carry_out_all(to);
        }
    }
}

void test_group::run_for(duration length)
{
    duration const end = this->elapsed + length;
    while (this->elapsed < end && !this->checker.violation.has_value())
    {
        this->elapsed += this->settings.tick_interval;
        for (std::size_t host_index = 0; host_index < this->hosts.size();
             ++host_index)
        {
            if (this->hosts.at(host_index).is_running())
            {
                this->process(host_index, tick{});
            }
        }
        this->deliver_all();
    }
}

bool test_group::run_until_leader_elected()
{
    constexpr int max_ticks = 400;
    for (int passed = 0; passed < max_ticks; ++passed)
    {
        this->run_for(this->settings.tick_interval);
        std::optional<std::size_t> const current_leader = this->leader();
        bool const all_follow =
            current_leader.has_value() &&
            std::ranges::all_of(
                this->hosts,
                [this, &current_leader](test_host const& one)
                {
                    return !one.is_running() ||
                           one.replica->membership().quorum() == 0 ||
                           one.replica->leader() ==
                               this->hosts.at(*current_leader).id;
                });
        if (all_follow)
        {
            return true;
        }
    }
    return false;
}

event test_group::new_proposal()
{
    std::uint64_t const token = this->next_token++;
    this->outcomes[token] = outcome::open;
    return propose{token,
                   bytes(1 + token % 5, static_cast<std::uint8_t>(token))};
}

event test_group::new_read()
{
    std::uint64_t const token = this->next_token++;
    this->checker.record_read_request(token);
    return read_requested{token};
}

std::uint64_t test_group::propose_at(std::size_t host_index)
{
    this->reduce(host_index, this->new_proposal());
    return this->next_token - 1;
}

std::uint64_t test_group::read_at(std::size_t host_index)
{
    this->reduce(host_index, this->new_read());
    return this->next_token - 1;
}

outcome test_group::outcome_of(std::uint64_t token) const
{
    auto const found = this->outcomes.find(token);
    return found == this->outcomes.end() ? outcome::open : found->second;
}

std::optional<std::uint64_t> test_group::read_index(std::uint64_t token) const
{
    auto const found = this->read_answers.find(token);
    return found == this->read_answers.end() ? std::nullopt
                                             : std::optional(found->second);
}

std::string test_group::describe() const
{
    std::string text;
    for (test_host const& host : this->hosts)
    {
        text += fmt::format("\n{} incarnation {}", host.id.text(),
                            host.incarnation);
        if (host.replica == nullptr)
        {
            continue;
        }
        replica const& one = *host.replica;
        text +=
            fmt::format(" {} term {} commit {} last {} leader {} of",
                        to_string(one.role()), one.term(), one.commit_index(),
                        one.last_index(), one.leader().text());
        for (member const& each : one.membership().members)
        {
            text += fmt::format(" {}/{}{}", each.host.text(), each.incarnation,
                                each.voter ? "v" : "l");
        }
    }
    return text;
}

std::optional<std::size_t> test_group::leader() const
{
    std::optional<std::size_t> best;
    for (std::size_t host_index = 0; host_index < this->hosts.size();
         ++host_index)
    {
        test_host const& host = this->hosts.at(host_index);
        bool const later =
            !best.has_value() ||
            (host.replica != nullptr &&
             host.replica->term() > this->hosts.at(*best).replica->term());
        if (host.is_running() && host.is_leader() && later)
        {
            best = host_index;
        }
    }
    return best;
}

} // namespace bilberrylead::agreement::tests
