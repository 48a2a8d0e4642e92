#ifndef BILBERRYLEAD_HTTP_CALLER_REQUEST_HPP
#define BILBERRYLEAD_HTTP_CALLER_REQUEST_HPP

#include "bilberrylead/http/carried_request.hpp"
#include "bilberrylead/http/held_answer.hpp"
#include "bilberrylead/http/memory_share.hpp"
#include "bilberrylead/http/net.hpp"

#include <memory>
#include <utility>

namespace bilberrylead::http
{

/// One request as its caller's connection sees it, from the first byte of
/// its head to the last one of its answer.
struct caller_request
{
    /// A request of which nothing has been read.
    explicit caller_request(std::shared_ptr<server_core> core)
        : memory(std::move(core))
    {
    }

    /// Its head and, if it has one, its body.
    request_parser parser;
    /// Why its head cannot be parsed, if it cannot.
    error_code head_error;
    /// True once a byte of the head has been read.
    bool begun = false;
    /// True if its head came too slowly.
    bool late = false;
    /// Why the rest of its body, of which a part has been passed on, cannot be
    /// read although its caller is still there.
    error_code body_error;
    /// True if it must not be dispatched before it is the first one.
    bool waits_for_turn = false;
    /// True once the decisions know of it.
    bool dispatched = false;
    /// HTTP version of the answer.
    unsigned version = 11;
    /// True if only the answer's head is wanted.
    bool head_only = false;
    /// True if the caller wants the connection kept after the answer.
    bool keeps_connection = false;
    /// The request on its way; null until it is dispatched.
    std::shared_ptr<carried_request> carried;
    /// What has been read ahead of its answer.
    held_answer held;
    /// What it holds of the host's memory.
    memory_share memory;
};

} // namespace bilberrylead::http

#endif
