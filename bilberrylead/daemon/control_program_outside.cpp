#include "bilberrylead/daemon/control_program_parts.hpp"

#include "bilberrylead/core/process_clock.hpp"

#include <fmt/format.h>

#include <set>
#include <string_view>
#include <utility>
#include <variant>

/// What operators, callers and the list of upstreams see of a control
/// host.
namespace bilberrylead::daemon
{

namespace
{

constexpr part_log log{"control"};

/// The name in the audit trail where the network says who may call.
constexpr std::string_view network_operator = "network";

/// Callers that look up entry hosts at a time, and how long each may take;
/// a descriptor each.
constexpr std::size_t most_steering_connections = 1500;
constexpr std::chrono::seconds steering_idle_limit{15};

/// Questions have no body; a stray one must not take the memory of the process,
/// times the connections above.
constexpr std::size_t largest_steering_body = 4096;

constexpr unsigned http_ok = 200;

/// Outcomes of operators' calls in logs and metrics.
constexpr std::string_view operator_call_answered = "answered";
constexpr std::string_view operator_call_of_leader = "not-leader";
constexpr std::string_view operator_call_refused = "refused";

} // namespace

absl::Status control_program::implementation::listen_outside()
{
    this->operators.emplace(this->io,
                            [this](link::http_request const& request,
                                   link::http_endpoint::answer_function answer)
                            {
                                this->serve_operator(request,
                                                     std::move(answer));
                            });
    absl::Status listening =
        this->operators->listen(this->settings.operator_listen);
    if (!listening.ok())
    {
        return listening;
    }
    if (this->settings.steering_listen.port != 0)
    {
        link::http_endpoint_settings bounds;
        bounds.most_connections = most_steering_connections;
        bounds.exchange_timeout = steering_idle_limit;
        bounds.largest_body = largest_steering_body;
        this->steering.emplace(
            this->io,
            [this](link::http_request const& request,
                   link::http_endpoint::answer_function const& answer)
            {
                this->serve_caller(request, answer);
            },
            bounds);
        listening = this->steering->listen(this->settings.steering_listen);
        if (!listening.ok())
        {
            return listening;
        }
    }
    this->metrics_port.emplace(
        this->io,
        [this](link::http_request const&,
               link::http_endpoint::answer_function const& answer)
        {
            answer({200, "text/plain; version=0.0.4",
                    this->metrics.text(*this->reducer, *this->store)});
        });
    return this->metrics_port->listen(this->settings.metrics_listen);
}

void control_program::implementation::refuse_open_calls()
{
    std::map<std::uint64_t, open_operator_call> const calls =
        std::exchange(this->waiting, {});
    for (auto const& [number, call] : calls)
    {
        call.answer(this->adapter.write_operator_reply(
            call.request, this->ended_by, std::nullopt));
    }
}

void control_program::implementation::answer(
    control::answer_operator const& effect)
{
    auto const found = this->waiting.find(effect.number);
    if (found == this->waiting.end())
    {
        return;
    }
    open_operator_call const call = std::move(found->second);
    this->waiting.erase(found);
    absl::Status const* const failed = std::get_if<absl::Status>(&effect.reply);
    std::string_view outcome = operator_call_answered;
    if (failed != nullptr)
    {
        outcome = kind_of(*failed) == error_kind::not_leader
                      ? operator_call_of_leader
                      : operator_call_refused;
    }
    this->metrics.count_operator_call(outcome);
    this->group.record_operator_call(outcome, effect.leader);
    call.answer(this->adapter.write_operator_reply(
        call.request, effect.reply, this->leader_port(effect.leader)));
}

std::optional<config::endpoint>
control_program::implementation::leader_port(host_id const& leader) const
{
    if (!this->forms_itself() || leader.empty() || leader == this->settings.id)
    {
        return std::nullopt;
    }
    return config::endpoint{leader.text(), this->settings.operator_listen.port};
}

void control_program::implementation::serve_caller(
    link::http_request const& request,
    link::http_endpoint::answer_function const& answer)
{
    absl::StatusOr<presence::steering_query> asked =
        this->adapter.read_steering_question(request);
    if (!asked.ok())
    {
        answer(write_operator_reply(asked.status()));
        return;
    }
    // Without a revision the regions of the routes are unknown.
    asked->permitted_regions = this->regions_of_names.has_value()
                                   ? this->regions_of_names->find(asked->name)
                                   : std::set<region_id>();
    answer(this->adapter.write_steering_reply(
        this->reducer->steer(*asked, clock_now())));
}

void control_program::implementation::read_name_regions(bytes const& document)
{
    absl::StatusOr<accepted_revision> const read =
        this->adapter.read_revision(document);
    if (!read.ok())
    {
        log.error("The regions of the routes cannot be read; callers are "
                  "directed by those of the last revision: {}",
                  std::string(read.status().message()));
        return;
    }
    if (read->content != nullptr)
    {
        this->regions_of_names = presence::name_regions(*read->content);
    }
}

absl::StatusOr<discovery::list_page> control_program::implementation::page_of(
    absl::StatusOr<link::http_result> const& result) const
{
    if (!result.ok())
    {
        return result.status();
    }
    if (result->status != http_ok)
    {
        return make_error(
            error_kind::no_room,
            fmt::format("The list of upstreams answered {}.", result->status),
            "It is asked again.");
    }
    return this->adapter.read_list_page(result->body);
}

void control_program::implementation::call_list(
    discovery::page_call const& call)
{
    // A caller makes one call at a time; zones are asked side by side, and a
    // second call for a page does not wait behind the first.
    link::http_caller& caller =
        this->lists
            .try_emplace({call.zone, call.is_hedge}, this->io,
                         this->settings.upstream_list,
                         discovery::list_reader_settings{}.call_timeout)
            .first->second;
    caller.get(
        this->adapter.list_target(call),
        [this,
         number = call.number](absl::StatusOr<link::http_result> const& result)
        {
            absl::StatusOr<discovery::list_page> page = this->page_of(result);
            if (!page.ok())
            {
                log.warning("The list of upstreams could not be read: {}",
                            std::string(page.status().message()));
                this->metrics.count_failed_list_call();
                this->take(control::list_call_failed{number});
                return;
            }
            if (page->unreadable > 0)
            {
                log.warning("{} entries of the list of upstreams cannot be "
                            "read and are passed over.",
                            page->unreadable);
            }
            this->take(control::list_page_received{number, *std::move(page)});
        });
}

void control_program::implementation::serve_operator(
    link::http_request const& request,
    link::http_endpoint::answer_function answer)
{
    absl::StatusOr<std::string> const who =
        this->settings.trust == config::operator_trust::by_network
            ? std::string(network_operator)
            : authenticate(request, this->settings.operators);
    if (!who.ok())
    {
        answer(write_operator_reply(who.status()));
        return;
    }
    if (is_founding_order(request))
    {
        this->found(answer);
        return;
    }
    absl::StatusOr<control::operator_request> asked =
        this->adapter.read_operator_request(request, *who);
    if (!asked.ok())
    {
        log.warning("An operator's call {} {} was refused: {}", request.method,
                    request.target, std::string(asked.status().message()));
        answer(this->adapter.write_operator_reply(request, asked.status(),
                                                  std::nullopt));
        return;
    }
    if (this->disk_failed)
    {
        answer(this->adapter.write_operator_reply(request, this->ended_by,
                                                  std::nullopt));
        return;
    }
    ++this->last_request;
    this->waiting.emplace(this->last_request,
                          open_operator_call{request, std::move(answer)});
    this->take(control::operator_request_received{
        this->last_request, std::move(*asked), wall_clock_now()});
}

void control_program::implementation::found(
    link::http_endpoint::answer_function const& answer)
{
    // A host that has heard of a term is in a group that was founded a
    // moment ago: the leader may have listed it under its present
    // incarnation. Founding it now would change that and set its term back.
    bool const is_blank = this->reducer->log().membership().members.empty() &&
                          this->reducer->log().last_index() == 0 &&
                          this->reducer->log().term() == 0;
    if (!is_blank)
    {
        answer(write_operator_reply(make_error(
            error_kind::conflict, "This host belongs to a group already.",
            "Found a group only once, on hosts with blank data folders.")));
        return;
    }
    this->write(this->store->become_founder());
    if (this->disk_failed)
    {
        answer(write_operator_reply(this->ended_by));
        return;
    }

    std::vector<host_id> founders;
    founders.reserve(this->settings.control_hosts.size());
    for (config::host_address const& host : this->settings.control_hosts)
    {
        founders.push_back(host.id);
    }
    this->start_reducer(this->founding(founders));
    log.info("A new group of {} control hosts is founded.",
             this->settings.control_hosts.size());
    answer(write_operator_reply(control::done_reply{}));
}

} // namespace bilberrylead::daemon
