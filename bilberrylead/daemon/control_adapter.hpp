#ifndef BILBERRYLEAD_DAEMON_CONTROL_ADAPTER_HPP
#define BILBERRYLEAD_DAEMON_CONTROL_ADAPTER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/control/operator_reply.hpp"
#include "bilberrylead/control/operator_request.hpp"
#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/daemon/accepted_revision.hpp"
#include "bilberrylead/discovery/list_page.hpp"
#include "bilberrylead/discovery/page_call.hpp"
#include "bilberrylead/link/http_endpoint.hpp"
#include "bilberrylead/presence/steering_query.hpp"
#include "bilberrylead/presence/steering_reply.hpp"

#include <absl/status/statusor.h>

#include <concepts>
#include <optional>
#include <string>

namespace bilberrylead::daemon
{

/// How the world outside speaks to a control host: names and formats of
/// operators' calls, of callers' questions and of the list of upstreams. An
/// adapter translates and decides nothing.
template <class Adapter>
concept control_adapter =
    requires(link::http_request const& request, std::string const& text,
             control::operator_reply const& reply,
             std::optional<config::endpoint> const& leader,
             presence::steering_reply const& steering, bytes const& document,
             discovery::page_call const& call) {
        {
            Adapter::read_operator_request(request, text)
        } -> std::same_as<absl::StatusOr<control::operator_request>>;
        {
            Adapter::write_operator_reply(request, reply, leader)
        } -> std::same_as<link::http_answer>;
        {
            Adapter::read_steering_question(request)
        } -> std::same_as<absl::StatusOr<presence::steering_query>>;
        {
            Adapter::write_steering_reply(steering)
        } -> std::same_as<link::http_answer>;
        {
            Adapter::read_revision(document)
        } -> std::same_as<absl::StatusOr<accepted_revision>>;
        { Adapter::list_target(call) } -> std::same_as<std::string>;
        {
            Adapter::read_list_page(text)
        } -> std::same_as<absl::StatusOr<discovery::list_page>>;
    };

/// An adapter's functions, for a program that was compiled before it.
struct control_bindings
{
    /// Reads an operator's call; who sends it is known already.
    absl::StatusOr<control::operator_request> (*read_operator_request)(
        link::http_request const& request, std::string const& operator_name);
    /// Writes the answer to a call. `leader`: the operators' port of the
    /// host that leads, if this one knows it and it is another one.
    link::http_answer (*write_operator_reply)(
        link::http_request const& request, control::operator_reply const& reply,
        std::optional<config::endpoint> const& leader);
    /// Reads a caller's question.
    absl::StatusOr<presence::steering_query> (*read_steering_question)(
        link::http_request const& request);
    /// Writes the answer to it.
    link::http_answer (*write_steering_reply)(
        presence::steering_reply const& steering);
    /// Reads what control hosts distribute.
    absl::StatusOr<accepted_revision> (*read_revision)(bytes const& document);
    /// The target that asks for a page of the list of upstreams.
    std::string (*list_target)(discovery::page_call const& call);
    /// Reads a page of the list of upstreams.
    absl::StatusOr<discovery::list_page> (*read_list_page)(
        std::string const& body);
};

/// The functions of an adapter.
template <control_adapter Adapter>
control_bindings bindings_of()
{
    return {&Adapter::read_operator_request,  &Adapter::write_operator_reply,
            &Adapter::read_steering_question, &Adapter::write_steering_reply,
            &Adapter::read_revision,          &Adapter::list_target,
            &Adapter::read_list_page};
}

} // namespace bilberrylead::daemon

#endif
