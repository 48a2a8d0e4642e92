#ifndef BILBERRYLEAD_HTTP_CARRIED_REQUEST_HPP
#define BILBERRYLEAD_HTTP_CARRIED_REQUEST_HPP

#include "bilberrylead/entry/effect.hpp"
#include "bilberrylead/entry/request_number.hpp"
#include "bilberrylead/http/net.hpp"
#include "bilberrylead/once/recorded_answer.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <variant>

namespace bilberrylead::http
{

class upstream_exchange;

/// Stream this exchange's answer to the caller.
struct stream_reply
{
    /// The exchange; its head has been read.
    std::shared_ptr<upstream_exchange> exchange;
};

/// Give the caller this whole answer.
struct recorded_reply
{
    /// The answer.
    once::recorded_answer answer;
};

/// How a request is to be answered; monostate while that is open.
using reply = std::variant<std::monostate, stream_reply, recorded_reply,
                           entry::answer_not_run, entry::answer_unknown,
                           entry::answer_problem>;

/// A request on its way, shared by its caller's connection and the
/// exchanges that carry it.
struct carried_request
{
    /// Its number.
    entry::request_number number{};
    /// Its id, as the upstream and the caller see it.
    std::string id;
    /// Head for the upstream, without headers of the one connection. Its
    /// body is set anew for each try.
    request_message message;
    /// Key of the caller, which goes to another entry host but never to an
    /// upstream. Secret.
    std::string customer_key;
    /// What is kept of the body.
    std::string kept;
    /// True if that is all of it.
    bool complete = true;
    /// Reads more of the body when it is not complete; 0 bytes and no error
    /// is its end. The caller's connection outlives every call.
    std::function<task<std::size_t>(std::span<char>, error_code&)> read_rest;
    /// How it is answered.
    http::reply reply;
    /// Called once the reply is set.
    std::function<void()> replied;
    /// The answer of guarded work until its record is durable.
    once::recorded_answer collected;
    /// True once its caller needs nothing more.
    bool caller_left = false;
    /// The exchange that carries it now, or null.
    std::shared_ptr<upstream_exchange> exchange;
};

} // namespace bilberrylead::http

#endif
