#include "review/stand_ins_2/backend.hpp"

#include <thread>
#include <utility>

namespace bilberrylead::review
{

backend::backend(std::string id, std::string service, address const& at,
                 milliseconds work, record& lines)
    : at(at), of_service(std::move(service)), work(work), name(std::move(id)),
      lines(lines)
{
    this->open();
}

backend::~backend() = default;

void backend::open()
{
    this->port = std::make_unique<listener>(this->at,
                                            [this](connection& from)
                                            {
                                                this->serve_all(from);
                                            });
}

std::string backend::id() const
{
    std::lock_guard const hold(this->mutex);
    return this->name;
}

void backend::crash_on(std::string target, milliseconds away, bool keeps_id)
{
    std::lock_guard const hold(this->mutex);
    this->crash_target = std::move(target);
    this->away = away;
    this->keeps_id = keeps_id;
}

void backend::restart(milliseconds away, bool keeps_id)
{
    {
        std::lock_guard const hold(this->mutex);
        this->away = away;
        this->keeps_id = keeps_id;
    }
    this->crash();
}

/// Ends as a process that crashes does, and starts again.
void backend::crash()
{
    if (this->is_down.exchange(true))
    {
        return;
    }
    this->lines.line("backend " + this->id() + " ends");
    this->port = nullptr;
    {
        std::lock_guard const hold(this->mutex);
        for (connection* const each : this->served)
        {
            each->abort();
        }
    }
    std::thread(
        [this]
        {
            std::this_thread::sleep_for(this->away);
            {
                std::lock_guard const hold(this->mutex);
                if (!this->keeps_id)
                {
                    this->name += "n";
                }
            }
            this->leaving = false;
            this->is_down = false;
            this->open();
            this->lines.line("backend " + this->id() + " is back");
        })
        .detach();
}

void backend::serve_all(connection& from)
{
    {
        std::lock_guard const hold(this->mutex);
        this->served.insert(&from);
    }
    this->serve(from);
    std::lock_guard const hold(this->mutex);
    this->served.erase(&from);
}

std::map<std::string, std::string>
backend::answer_headers(http_message const& request) const
{
    std::map<std::string, std::string> headers{
        {"Bilberrylead-Attempt-Id", request.header("bilberrylead-attempt-id")},
        {"Bilberrylead-Response-Signature",
         this->id() + "." + request.header("bilberrylead-attempt-id")},
        {"Bilberrylead-Server-Load", "1,0,3"},
        {"Keep-Alive", "timeout=10"}};
    if (this->leaving)
    {
        headers["Server-Leaving"] = "1";
    }
    return headers;
}

void backend::serve(connection& from)
{
    http_message request;
    while (from.read(request, clock::now() + std::chrono::seconds(10)) ==
           read_end::whole)
    {
        std::string const expected =
            request.header("bilberrylead-expect-instance");
        std::string const attempt = request.header("bilberrylead-attempt-id");
        std::string const own = this->id();
        if (!expected.empty() && expected != own)
        {
            std::string text = "backend " + own;
            text.append(" turns away ").append(attempt);
            text.append(" meant for ").append(expected);
            this->lines.line(text);
            from.send(to_text("HTTP/1.1 421 Misdirected Request",
                              {{"Bilberrylead-Attempt-Id", attempt},
                               {"Bilberrylead-Not-Executed", "1"}},
                              ""));
            continue;
        }
        ++this->run_count;
        std::string text = "backend " + own;
        text.append(" runs ").append(attempt);
        text.append(" (").append(request.start).append(")");
        this->lines.line(text);
        if (!this->crash_target.empty() &&
            request.target() == this->crash_target)
        {
            ++this->crash_count;
            this->crash();
            return;
        }
        std::this_thread::sleep_for(this->work);
        if (this->is_down)
        {
            return;
        }
        if (this->spoil && this->spoil(from, request))
        {
            return;
        }
        if (!from.send(to_text("HTTP/1.1 200 OK", this->answer_headers(request),
                               "bytes of " + own)))
        {
            return;
        }
    }
}

} // namespace bilberrylead::review
