# A batch of independent tasks, and beside it a gang that starts whole or not at all.
job "spread-backtest" {
  type     = "batch"
  priority = 30

  meta = {
    hj_team       = "desk"
    hj_estimate_s = "3"
  }

  group "replay" {
    count = 20

    affinity {
      attribute = "${node.class}"
      operator  = "regexp"
      value     = "^(c|m)"
      weight    = 40
    }

    task "day" {
      driver = "docker"
      config {
        image = "desk/backtest:3"
      }
      resources {
        cores  = 1
        memory = 1024
      }
    }
  }

  group "train" {
    count = 3
    meta {
      hj_kind         = "gang"
      hj_one_zone     = "true"
      hj_checkpoint_s = "1"
    }

    task "worker" {
      driver       = "docker"
      kill_timeout = "1s"
      config {
        image = "desk/train:3"
      }
      resources {
        cores  = 2
        memory = 2048
      }
    }
  }
}
