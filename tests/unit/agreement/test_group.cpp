#include "test_group.hpp"

#include "bilberrylead/agreement/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>

namespace bilberrylead::agreement::tests
{

namespace
{

/// Every so many messages one goes through the codec on its way.
constexpr std::uint64_t codec_stride = 8;

} // namespace

test_group::test_group(std::size_t founders, std::size_t spares,
                       std::uint64_t first_seed, replica_settings const& pace,
                       safeguards const& kept)
    : settings(pace), switches(kept), seed(first_seed)
{
    this->hosts.resize(founders + spares);
    for (std::size_t place = 0; place < this->hosts.size(); ++place)
    {
        test_host& host = this->hosts.at(place);
        host.id = host_id(fmt::format("c{}", place));
        host.founder = place < founders;
        if (host.founder)
        {
            this->founding.put(member{host.id, 1, true, false});
        }
    }
    for (std::size_t place = 0; place < this->hosts.size(); ++place)
    {
        this->start(place);
    }
}

instant test_group::now_at(std::size_t place) const
{
    return instant(this->elapsed * this->hosts.at(place).clock_rate / 1000);
}

void test_group::start(std::size_t place)
{
    test_host& host = this->hosts.at(place);
    host.replica = std::make_unique<replica>(
        host.id, host.incarnation, this->settings,
        this->seed * this->hosts.size() + place, this->switches);
    host.frozen = false;
    host.applied = 0;
    host.committed = 0;
    started first = host.disk.read();
    if (host.founder && host.incarnation == 1)
    {
        first.founding = this->founding;
    }
    this->give(place, first);
}

void test_group::crash(std::size_t place, std::size_t kept)
{
    test_host& host = this->hosts.at(place);
    host.replica.reset();
    host.due.clear();
    host.disk.crash(std::min(kept, host.disk.unsynced_writes()));
}

void test_group::lose_disk(std::size_t place)
{
    test_host& host = this->hosts.at(place);
    host.disk.wipe();
    ++host.incarnation;
}

void test_group::cut(std::size_t from, std::size_t to)
{
    this->cuts.emplace(from, to);
}

void test_group::isolate(std::size_t place)
{
    for (std::size_t other = 0; other < this->hosts.size(); ++other)
    {
        this->cut(place, other);
        this->cut(other, place);
    }
}

void test_group::heal()
{
    this->cuts.clear();
}

void test_group::give(std::size_t place, event const& what)
{
    this->reduce(place, what);
    this->carry_out_all(place);
}

void test_group::reduce(std::size_t place, event const& what)
{
    this->reduce(place, std::span(&what, 1));
}

void test_group::reduce(std::size_t place, std::span<event const> events)
{
    test_host& host = this->hosts.at(place);
    instant const now = this->now_at(place);
    bool const led = host.leads();
    std::uint64_t const term_before = host.replica->term();
    for (effect& one : host.replica->reduce(events, now))
    {
        host.due.push_back(std::move(one));
    }
    if (host.leads() && !led)
    {
        host.leads_since = now;
    }
    if (!std::holds_alternative<started>(events.front()))
    {
        this->check_campaigns(host, term_before);
    }
    this->check_host(host, now);
}

void test_group::check_host(test_host& host, instant now)
{
    if (host.leads())
    {
        this->checker.leads(host.id, host.replica->term());
        this->check_quorum(host, now);
    }
    if (host.replica->commit_index() < host.committed)
    {
        this->checker.fail(
            fmt::format("{}'s commit index goes back", host.id.text()));
    }
    host.committed = host.replica->commit_index();
}

/// A host that hears nobody must not raise the term again and again: it
/// would unseat a healthy leader when it comes back.
void test_group::check_campaigns(test_host& host, std::uint64_t term_before)
{
    bool const campaigned =
        host.replica->term() > term_before &&
        (host.replica->role() == role::candidate || host.leads());
    bool const alone = host.replica->membership().quorum() <= 1;
    host.unheard_campaigns += campaigned && !alone ? 1 : 0;
    if (host.unheard_campaigns > 1)
    {
        this->checker.fail(fmt::format("{} raises its term though it hears "
                                       "nobody",
                                       host.id.text()));
    }
}

/// A leader must know by its own clock that it lost its quorum.
void test_group::check_quorum(test_host const& host, instant now)
{
    instant const oldest = now - 2 * this->settings.election_timeout;
    if (host.leads_since > oldest)
    {
        return;
    }
    membership const& members = host.replica->membership();
    std::size_t heard = 0;
    for (member const& one : members.members)
    {
        auto const last = host.heard.find(one.host);
        bool const lately = one.host == host.id ||
                            (last != host.heard.end() && last->second > oldest);
        heard += one.voter && lately ? 1 : 0;
    }
    if (heard < members.quorum())
    {
        this->checker.fail(fmt::format("{} leads and hears {} of {} voters",
                                       host.id.text(), heard,
                                       members.voters()));
    }
}

void test_group::carry_out(std::size_t place, std::size_t count)
{
    for (std::size_t done = 0;
         done < count && !this->hosts.at(place).due.empty(); ++done)
    {
        test_host& host = this->hosts.at(place);
        effect const next = std::move(host.due.front());
        host.due.pop_front();
        this->carry_out(host, next);
    }
}

void test_group::carry_out_all(std::size_t place)
{
    while (!this->hosts.at(place).due.empty())
    {
        this->carry_out(place, 1);
    }
}

void test_group::carry_out(test_host& host, effect const& what)
{
    std::size_t const place =
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
                this->post(place, one);
            }
            else if constexpr (std::is_same_v<kind, apply>)
            {
                ++host.applied;
                this->checker.applies(host.id, host.applied, one.entry);
            }
            else if constexpr (std::is_same_v<kind, restore>)
            {
                host.applied = one.snapshot.last_index;
                this->checker.restores(host.id, one.snapshot);
            }
            else if constexpr (std::is_same_v<kind, proposal_accepted>)
            {
                this->outcomes[one.token] = outcome::accepted;
                this->checker.accepted(one.index);
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
                this->checker.read_answered(host.id, one.token, one.index);
            }
            else if constexpr (std::is_same_v<kind, take_snapshot>)
            {
                this->reduce(place,
                             snapshot_taken{one.index,
                                            this->checker.state_at(one.index)});
            }
            else if constexpr (!std::is_same_v<kind, role_changed> &&
                               !std::is_same_v<kind, read_refused>)
            {
                host.disk.write(what);
            }
        },
        what);
}

void test_group::post(std::size_t from, send const& what)
{
    auto const receiver = std::ranges::find_if(this->hosts,
                                               [&what](test_host const& one)
                                               {
                                                   return one.id == what.to;
                                               });
    std::size_t const to =
        static_cast<std::size_t>(receiver - this->hosts.begin());
    if (to < this->hosts.size() && !this->cuts.contains({from, to}))
    {
        this->under_way.push_back(envelope{from, to, what.message});
    }
}

void test_group::deliver(std::size_t message_place, bool keep)
{
    auto const taken =
        this->under_way.begin() + static_cast<std::ptrdiff_t>(message_place);
    envelope next = *taken;
    if (!keep)
    {
        this->under_way.erase(taken);
    }
    std::size_t const to = next.to;
    std::optional<message_received> const arrived =
        this->arrive(std::move(next));
    if (arrived.has_value())
    {
        this->reduce(to, *arrived);
    }
}

void test_group::deliver_batch(std::size_t to, std::size_t most)
{
    std::vector<event> events;
    for (auto next = this->under_way.begin();
         next != this->under_way.end() && events.size() < most;)
    {
        if (next->to != to)
        {
            ++next;
            continue;
        }
        std::optional<message_received> arrived =
            this->arrive(std::move(*next));
        next = this->under_way.erase(next);
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

std::optional<message_received> test_group::arrive(envelope&& next)
{
    test_host& host = this->hosts.at(next.to);
    if (!host.runs())
    {
        return std::nullopt;
    }
    if (this->under_way.size() % codec_stride == 0)
    {
        absl::StatusOr<message> const copy =
            decode_message(encode_message(next.message));
        if (!copy.ok() || *copy != next.message)
        {
            this->checker.fail("a message is not read as it was written");
        }
    }
    host_id const& sender = this->hosts.at(next.from).id;
    host.heard[sender] = this->now_at(next.to);
    host.unheard_campaigns = 0;
    return message_received{sender, std::move(next.message)};
}

void test_group::deliver_all()
{
    while (!this->under_way.empty() && !this->checker.breach.has_value())
    {
        std::size_t const to = this->under_way.front().to;
        this->deliver(0);
        if (this->hosts.at(to).runs())
        {
            this->carry_out_all(to);
        }
    }
}

void test_group::run_for(duration length)
{
    duration const end = this->elapsed + length;
    while (this->elapsed < end && !this->checker.breach.has_value())
    {
        this->elapsed += this->settings.tick_interval;
        for (std::size_t place = 0; place < this->hosts.size(); ++place)
        {
            if (this->hosts.at(place).runs())
            {
                this->give(place, tick{});
            }
        }
        this->deliver_all();
    }
}

bool test_group::run_until_led()
{
    constexpr int most_ticks = 400;
    for (int passed = 0; passed < most_ticks; ++passed)
    {
        this->run_for(this->settings.tick_interval);
        std::optional<std::size_t> const led_by = this->leader();
        bool const all_follow =
            led_by.has_value() &&
            std::ranges::all_of(
                this->hosts,
                [this, &led_by](test_host const& one)
                {
                    return !one.runs() ||
                           one.replica->membership().quorum() == 0 ||
                           one.replica->leader() == this->hosts.at(*led_by).id;
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
    this->checker.read_asked(token);
    return read_requested{token};
}

std::uint64_t test_group::propose_at(std::size_t place)
{
    this->reduce(place, this->new_proposal());
    return this->next_token - 1;
}

std::uint64_t test_group::read_at(std::size_t place)
{
    this->reduce(place, this->new_read());
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
    for (std::size_t place = 0; place < this->hosts.size(); ++place)
    {
        test_host const& host = this->hosts.at(place);
        bool const later =
            !best.has_value() ||
            (host.replica != nullptr &&
             host.replica->term() > this->hosts.at(*best).replica->term());
        if (host.runs() && host.leads() && later)
        {
            best = place;
        }
    }
    return best;
}

} // namespace bilberrylead::agreement::tests
