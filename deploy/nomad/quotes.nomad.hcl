# A service of the desk: six replicas, two replaced at a time, at most half of them in one zone.
variable "replicas" {
  type    = number
  default = 6
}

variable "release" {
  type    = string
  default = "7"
}

locals {
  image = "quotes/serve:${var.release}"
}

job "quote-rate-serve" {
  type        = "service"
  datacenters = ["*"]
  priority    = 75

  meta {
    hj_team = "desk"
  }

  update {
    max_parallel     = 2
    min_healthy_time = "1s"
    healthy_deadline = "1m"
    auto_revert      = true
  }

  group "serve" {
    count = var.replicas

    spread {
      attribute = "${node.datacenter}"
    }

    constraint {
      attribute = "${attr.cpu.numcores}"
      operator  = ">="
      value     = "8"
    }

    task "server" {
      driver = "docker"

      config {
        image = local.image
        args  = ["--port", "${NOMAD_PORT_http}"]
      }

      env {
        RELEASE = upper("r${var.release}")
      }

      resources {
        cpu    = 2000
        memory = 2048
      }
    }
  }
}
