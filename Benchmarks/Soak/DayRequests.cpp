#include <Benchmarks/Soak/DayRequests.h>

#include <Benchmarks/Soak/DayCatalog.h>

#include <StandIns/SimulatedTarget.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace cyclamenstair {

namespace {

    constexpr double maxTimesMean = 3.2; ///< Bound of the numbers of tokens.
    constexpr double lengthSpread = 0.8; ///< Standard deviation of the logarithm.
    constexpr double hintSpread = 0.5;
    constexpr double sharedPromptShare = 0.25;
    constexpr size_t sharedPrompts = 3; ///< Of a kind of request.
    constexpr size_t maxQuotedBody = 120;

    /// Returns a number with a log-normal distribution around the mean.
    double drawAround(double mean, double spread, Random& random)
    {
        const double factor = std::exp(std::normal_distribution<double>(-spread * spread / 2, spread)(random));
        return mean * std::min(factor, maxTimesMean);
    }

    std::string drawModel(const Site& site, const SiteRequestKind& kind, size_t shift, Random& random)
    {
        if (kind.models.empty())
            return {};
        const auto count = std::clamp<size_t>(kind.modelsAtStart.value_or(kind.models.size()), 1, kind.models.size());
        std::vector<double> weights;
        for (size_t i = 0; i < count; ++i)
            weights.push_back(std::pow(static_cast<double>(i + 1), -kind.modelSkew));
        const auto rank = std::discrete_distribution<size_t>(weights.begin(), weights.end())(random);
        const auto& model = site.models[kind.models[(shift + rank) % kind.models.size()]];
        if (model.adapterCount == 0 || randomUnit(random) >= kind.adapterShare)
            return model.name;
        return model.name + "/a" + std::to_string(1 + randomIndex(random, model.adapterCount));
    }

    std::string hexText(uint64_t number)
    {
        std::ostringstream text;
        text << std::hex << number;
        return text.str();
    }

} // namespace

DayRequest drawRequest(const Site& site, size_t kindIndex, const CallerBehaviour& behaviour, Random& random)
{
    const auto& kind = site.requestKinds[kindIndex];
    DayRequest request;
    request.kind = kindIndex;
    request.isImpatient = randomUnit(random) < behaviour.impatientShare;
    request.isInsistent = randomUnit(random) < behaviour.insistentShare;
    request.bodyBytes = kind.requestBytes == 0
        ? 0
        : static_cast<size_t>(drawAround(static_cast<double>(kind.requestBytes), lengthSpread, random));
    if (kind.retryPolicy != RetryPolicy::Stream)
        return request;
    const auto service = std::find_if(site.services.begin(), site.services.end(),
        [&](const SiteService& candidate) { return candidate.name == kind.service; });
    const size_t tokensPerEvent = service != site.services.end() && service->engine
        ? static_cast<size_t>(std::max(service->engine->tokensPerEvent, 1))
        : 1;
    request.model = drawModel(site, kind, behaviour.demandShift, random);
    request.promptTokens = std::max(8, static_cast<int>(drawAround(kind.promptTokens, lengthSpread, random)));
    request.eventCount = std::max<size_t>(1, static_cast<size_t>(drawAround(kind.events, lengthSpread, random)));
    request.outputTokens = static_cast<int>(request.eventCount * tokensPerEvent);
    request.lengthHint = std::max(1, static_cast<int>(drawAround(request.outputTokens, hintSpread, random)));
    const int shared = static_cast<int>(sharedPromptShare * request.promptTokens);
    const auto sharedId = 1000 * (kindIndex + 1) + randomIndex(random, sharedPrompts);
    request.promptPrefix = hexText(sharedId) + ":" + std::to_string(shared) + "," + hexText(random()) + ":"
        + std::to_string(request.promptTokens - shared);
    return request;
}

HttpRequest makeMessage(
    const Site& site, const DayRequest& request, const std::string& id, Duration timeLeft, size_t lastEvent)
{
    const auto& kind = site.requestKinds[request.kind];
    HttpRequest message;
    message.method = kind.method;
    message.target = DayCatalog::pathPrefix(kind) + "x";
    message.fields = { { "Host", std::string(DayCatalog::host) }, { "Cyclamenstair-Request-Id", id },
        { "Cyclamenstair-Deadline-Ms", std::to_string(toMilliseconds(timeLeft)) } };
    message.hasBody = kind.method != "GET";
    if (message.hasBody)
        message.body = std::string(request.bodyBytes, 'b');
    if (request.model.empty())
        return message;
    message.fields.emplace_back("Cyclamenstair-Model", request.model);
    message.fields.emplace_back(
        "Cyclamenstair-Token-Count", std::to_string(request.promptTokens) + "," + std::to_string(request.outputTokens));
    message.fields.emplace_back("Cyclamenstair-Prompt-Prefix", request.promptPrefix);
    message.fields.emplace_back("Cyclamenstair-Length-Hint", std::to_string(request.lengthHint));
    if (lastEvent > 0)
        message.fields.emplace_back("Last-Event-Id", std::to_string(lastEvent));
    return message;
}

std::optional<std::string> findWrongBody(const std::string& body, const std::string& id, size_t meanResponseBytes)
{
    const auto targetId = body.substr(0, body.find(':'));
    if (body == simulatedResponseBody(targetId, id, meanResponseBytes))
        return std::nullopt;
    return "body of " + std::to_string(body.size()) + " bytes: " + body.substr(0, maxQuotedBody);
}

size_t EventReader::append(std::string_view bytes)
{
    m_buffer += bytes;
    size_t count = 0;
    size_t begin = 0;
    for (auto end = m_buffer.find("\n\n"); end != std::string::npos; end = m_buffer.find("\n\n", begin)) {
        read(std::string_view(m_buffer).substr(begin, end - begin));
        begin = end + 2;
        ++count;
    }
    m_buffer.erase(0, begin);
    return count;
}

void EventReader::read(std::string_view event)
{
    constexpr std::string_view field = "id: ";
    const auto begin = event.find(field);
    size_t id = 0;
    if (begin != std::string_view::npos)
        std::from_chars(event.data() + begin + field.size(), event.data() + event.size(), id);
    if (id != m_lastEvent + 1 && m_fault.empty())
        m_fault = "event " + std::to_string(id) + " after " + std::to_string(m_lastEvent);
    m_lastEvent = id;
}

} // namespace cyclamenstair
