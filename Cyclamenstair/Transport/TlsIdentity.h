#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <memory>
#include <mutex>
#include <string>

typedef struct ssl_st SSL;
typedef struct ssl_ctx_st SSL_CTX;

namespace cyclamenstair {

/// Certificate and private key of a listener. They can be replaced while the listener runs: connections that are open
/// keep the old ones, new connections get the new ones.
class TlsIdentity {
public:
    /// Reads both PEM files and checks that they belong together.
    static Result<std::unique_ptr<TlsIdentity>> create(const std::string& certificatePath, const std::string& keyPath);
    ~TlsIdentity();

    /// Reads the files again. After an error the present certificate stays in use.
    std::optional<Error> reload();

    /// Makes each new connection of the context use the present certificate. The identity must outlive the context.
    void attach(SSL_CTX& context);

private:
    struct Material;

    TlsIdentity(std::string certificatePath, std::string keyPath);

    Result<std::unique_ptr<Material>> readMaterial() const;
    bool applyTo(SSL& connection);

    std::string m_certificatePath;
    std::string m_keyPath;
    std::mutex m_mutex;
    std::unique_ptr<Material> m_material;
};

} // namespace cyclamenstair
