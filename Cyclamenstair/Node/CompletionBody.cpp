#include <Cyclamenstair/Node/CompletionBody.h>

#include <Cyclamenstair/Core/Hash.h>

#include <nlohmann/json.hpp>

namespace cyclamenstair {

namespace {

    using Json = nlohmann::json;

    constexpr size_t prefixBytes = 256;

    /// Completion length that engines use if the caller does not specify one.
    constexpr uint32_t defaultMaxTokens = 16;
    constexpr int64_t maxTokensLimit = 1 << 24;

    void appendText(const Json& value, std::string& text)
    {
        if (value.is_string())
            text += value.get_ref<const std::string&>();
        else if (value.is_array() || value.is_object())
            text += value.dump();
    }

    std::string promptText(const Json& body)
    {
        std::string text;
        if (const auto prompt = body.find("prompt"); prompt != body.end())
            appendText(*prompt, text);
        const auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array())
            return text;
        for (const auto& message : *messages) {
            if (text.size() >= prefixBytes)
                break;
            if (message.is_object() && message.contains("content"))
                appendText(message["content"], text);
            text += '\n';
        }
        return text;
    }

} // namespace

std::optional<CompletionBody> CompletionBody::parse(const Request& request)
{
    if (request.method != "POST" || (request.path != "/v1/completions" && request.path != "/v1/chat/completions"))
        return std::nullopt;
    auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || body["model"] != request.artifact)
        return std::nullopt;
    return CompletionBody(std::move(body));
}

CompletionBody::CompletionBody(Json body)
    : m_body(std::make_unique<Json>(std::move(body)))
{
}

CompletionBody::CompletionBody(CompletionBody&&) noexcept = default;
CompletionBody::~CompletionBody() = default;

uint32_t CompletionBody::maxTokens() const
{
    const auto value = m_body->find("max_tokens");
    if (value == m_body->end() || !value->is_number_integer())
        return defaultMaxTokens;
    return static_cast<uint32_t>(std::clamp<int64_t>(value->get<int64_t>(), 0, maxTokensLimit));
}

std::optional<uint64_t> CompletionBody::prefixHash() const
{
    const auto prompt = promptText(*m_body);
    if (prompt.size() < prefixBytes)
        return std::nullopt;
    const auto& model = (*m_body)["model"].get_ref<const std::string&>();
    return stableHash(std::string_view(prompt).substr(0, prefixBytes), stableHash(model));
}

std::string CompletionBody::encode(int priority, uint32_t resumeFrom) const
{
    auto body = *m_body;
    body["priority"] = priority;
    if (resumeFrom > 0)
        body["resume_from"] = resumeFrom;
    else
        body.erase("resume_from");
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int enginePriority(Priority priority, WorkClass workClass)
{
    return 2 * static_cast<int>(priority) + (workClass == WorkClass::Short ? 1 : 0);
}

} // namespace cyclamenstair
