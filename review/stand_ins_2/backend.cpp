#include "review/stand_ins_2/backend.hpp"

#include <thread>
#include <utility>

namespace bilberrylead::review
{

backend::backend(std::string id, std::string service, address const& at,
                 milliseconds work, record& lines)
    : name(std::move(id)), of_service(std::move(service)), work(work),
      lines(lines)
{
    this->port = std::make_unique<listener>(at,
                                            [this](connection& from)
                                            {
                                                this->serve(from);
                                            });
}

std::map<std::string, std::string>
backend::answer_headers(http_message const& request) const
{
    std::map<std::string, std::string> headers{
        {"Bilberrylead-Attempt-Id", request.header("bilberrylead-attempt-id")},
        {"Bilberrylead-Response-Signature",
         this->name + "." + request.header("bilberrylead-attempt-id")},
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
        if (!expected.empty() && expected != this->name)
        {
            std::string text = "backend " + this->name;
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
        std::string text = "backend " + this->name;
        text.append(" runs ").append(attempt);
        text.append(" (").append(request.start).append(")");
        this->lines.line(text);
        std::this_thread::sleep_for(this->work);
        if (this->spoil && this->spoil(from, request))
        {
            return;
        }
        if (!from.send(to_text("HTTP/1.1 200 OK", this->answer_headers(request),
                               "bytes of " + this->name)))
        {
            return;
        }
    }
}

} // namespace bilberrylead::review
